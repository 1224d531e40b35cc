package marigoldward.control.routes

import marigoldward.control.replica.ReplicaDutyEvent
import marigoldward.control.replica.RoutesReply
import marigoldward.core.Outcome
import marigoldward.core.control.ControlCommand
import marigoldward.core.control.ControlOutcome
import marigoldward.core.model.InstanceId
import marigoldward.core.routes.RouteDocument
import marigoldward.core.routes.RouteDocumentReader
import marigoldward.support.bytes.Gzip
import marigoldward.support.duty.Duty
import marigoldward.support.log.EventLog
import marigoldward.support.time.MonotonicClock
import marigoldward.wire.control.SubmitReply
import java.io.IOException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

/**
 * Stores and reads the route configurations of operators through the replica. Every call waits for its answer.
 *
 * @param presumedLeader returns the leader as this instance knows it from others, or null; used when the replica, which
 * may not be a member yet, knows none
 */
public class RouteStore internal constructor(
    private val replica: Duty<ReplicaDutyEvent>,
    private val reader: RouteDocumentReader,
    private val presumedLeader: () -> InstanceId?,
) {
    /** Validates the configuration [content] and puts it in force if its version is the highest. */
    public fun store(content: ByteArray): RouteStoreResult {
        val startMillis = MonotonicClock.nowMillis()
        val result =
            when (val read = reader.read(content)) {
                is Outcome.Failure -> RouteStoreResult.Invalid(read.error)
                is Outcome.Success -> submit(RouteDocument(read.value.version, Gzip.compress(content)))
            }
        log.info("configuration_offered") {
            field("bytes", content.size)
            field("outcome", result)
            field("took_ms", MonotonicClock.nowMillis() - startMillis)
        }
        return result
    }

    /** Returns the configuration in force, as its operator sent it. */
    public fun read(): RouteReadResult {
        val answer = CompletableFuture<RoutesReply>()
        if (!replica.offer(ReplicaDutyEvent.ReadRoutes(answer::complete))) return RouteReadResult.Unknown
        return when (val read = await(answer)) {
            null -> RouteReadResult.Unknown
            is RoutesReply.NotLeader -> RouteReadResult.NotLeader(read.leader ?: presumedLeader())
            is RoutesReply.Current -> read.document?.let(::contentOf) ?: RouteReadResult.Current(null)
        }
    }

    private fun contentOf(document: RouteDocument): RouteReadResult = try {
        RouteReadResult.Current(Gzip.decompress(document.compressed, RouteDocument.MAX_CONTENT_BYTES))
    } catch (failure: IOException) {
        log.warn("configuration_unreadable") {
            field("version", document.version)
            field("reason", failure.message)
        }
        RouteReadResult.Unknown
    }

    private fun submit(document: RouteDocument): RouteStoreResult {
        val answer = CompletableFuture<SubmitReply>()
        val command = ControlCommand.StoreRoutes(document)
        if (!replica.offer(ReplicaDutyEvent.Submit(command, answer::complete))) {
            return RouteStoreResult.Unknown("too many requests are waiting")
        }
        return when (val reply = await(answer)) {
            null -> RouteStoreResult.Unknown("no answer within $ANSWER_TIMEOUT_MILLIS ms")
            SubmitReply.Unknown -> RouteStoreResult.Unknown("leadership was lost meanwhile")
            is SubmitReply.Refused -> RouteStoreResult.Unknown(reply.reason)
            is SubmitReply.NotLeader -> RouteStoreResult.NotLeader(reply.leader ?: presumedLeader())
            is SubmitReply.Committed -> toResult(reply.outcome)
        }
    }

    private fun toResult(outcome: ControlOutcome): RouteStoreResult = when (outcome) {
        is ControlOutcome.RoutesStored -> RouteStoreResult.Stored(outcome.version)
        is ControlOutcome.RoutesSuperseded -> RouteStoreResult.Superseded(outcome.current)
        is ControlOutcome.RoutesVersionTaken -> RouteStoreResult.VersionTaken(outcome.current)
        else -> error("unexpected outcome of a route configuration: $outcome")
    }

    private fun <T> await(answer: CompletableFuture<T>): T? = try {
        answer.get(ANSWER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
    } catch (_: TimeoutException) {
        null
    }

    private companion object {
        /** Longer than the election of a leader takes. Operators' programs ask another instance long before. */
        const val ANSWER_TIMEOUT_MILLIS = 3_000L
        val log = EventLog.fromName("routes")
    }
}
