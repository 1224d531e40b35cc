package marigoldward.wire.rpc

import io.grpc.Status
import io.grpc.StatusRuntimeException
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.serialization.KSerializer
import marigoldward.core.control.ControlCommand
import marigoldward.core.control.ControlState
import marigoldward.core.control.Fingerprint
import marigoldward.core.control.LostRequest
import marigoldward.core.dispatch.EngineStage
import marigoldward.core.dispatch.ListedUpstream
import marigoldward.core.model.DataCentre
import marigoldward.core.model.InstanceId
import marigoldward.core.model.PoolName
import marigoldward.core.model.Revision
import marigoldward.core.model.UpstreamId
import marigoldward.core.replication.EntryPayload
import marigoldward.core.replication.LogEntry
import marigoldward.core.replication.Members
import marigoldward.core.replication.ReplicaId
import marigoldward.core.replication.ReplicaMessage
import marigoldward.core.replication.Snapshot
import marigoldward.core.replication.SnapshotPoint
import marigoldward.core.routes.RouteDocument
import marigoldward.wire.control.SubmitReply
import marigoldward.wire.distribution.SubscriberReport
import marigoldward.wire.feed.CrashCounts
import marigoldward.wire.feed.CrashReport
import marigoldward.wire.feed.CrashReportReply
import marigoldward.wire.feed.DirectorySnapshot
import marigoldward.wire.feed.FeedUpdate
import marigoldward.wire.feed.SendingTime
import marigoldward.wire.feed.WatchRequest
import marigoldward.wire.peer.DirectoryUpdate
import marigoldward.wire.peer.JoinAnnouncement
import marigoldward.wire.peer.JoinReply
import marigoldward.wire.peer.PeerEnvelope
import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import java.lang.management.ManagementFactory
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.random.Random

private const val MUTANTS = 400

/** The memory that decoding may take beside a multiple of the message. */
private const val BASE_BYTES = 4L * 1_048_576
private const val BYTES_PER_BYTE = 512L

/** The stack of the threads of the processes, by `-Xss256k`. */
private const val STACK_BYTES = 262_144L
private val SELF = ReplicaId(InstanceId.parse("control-1"), Long.MAX_VALUE)
private val OTHER = ReplicaId(InstanceId.parse("control-2"), 2)
private val DATA_CENTRE = DataCentre.parse("dc-0")
private val UPSTREAM = UpstreamId.parse("engine-1")
private val FINGERPRINT = Fingerprint.parse("0123456789abcdef")
private val ROUTES = RouteDocument(7, ByteArray(40) { it.toByte() })
private val CRASHES = listOf(LostRequest(listOf(LostRequest.Suspect(FINGERPRINT, 1, 2))))
private val DIRECTORY = DirectorySnapshot(
    List(3) {
        val id = UpstreamId.parse("engine-$it")
        ListedUpstream(
            id,
            PoolName.parse("service"),
            "127.0.0.1:$it",
            DATA_CENTRE,
            64,
            false,
            it == 1,
            EngineStage.DECODE,
        )
    },
)
private val ENTRIES = listOf(
    EntryPayload.Noop,
    EntryPayload.MembersChange(Members(setOf(SELF), setOf(OTHER))),
    EntryPayload.Command(ControlCommand.StoreRoutes(ROUTES)),
    EntryPayload.Command(ControlCommand.ReportCrash(UPSTREAM, CRASHES)),
).mapIndexed { index, payload -> LogEntry(index + 1L, 3, payload) }

private class Sample<T : Any>(val serializer: KSerializer<T>, value: T) {
    val marshaller = ProtobufMarshaller(serializer)
    val encoded: ByteArray = marshaller.stream(value).readBytes()
}

private val SAMPLES = listOf(
    Sample(
        PeerEnvelope.serializer(),
        PeerEnvelope(
            SELF,
            OTHER,
            listOf(
                ReplicaMessage.Append(3, 0, 0, ENTRIES, 1, 4),
                ReplicaMessage.Install(3, Snapshot(SnapshotPoint(3, 3, Members(setOf(SELF))), ControlState.EMPTY), 1),
                ReplicaMessage.AppendReply(3, accepted = true, 4, 4),
                ReplicaMessage.VoteRequest(1, isPreVote = true, 0, 0),
                ReplicaMessage.VoteReply(1, isPreVote = true, granted = false),
            ),
            4,
            DirectoryUpdate(1, 2, DIRECTORY, SendingTime(3, 4)),
        ),
    ),
    Sample(
        FeedUpdate.serializer(),
        FeedUpdate(
            ROUTES,
            DIRECTORY,
            5,
            6,
            7,
            listOf(SELF.name, OTHER.name),
            DATA_CENTRE,
            CrashCounts(
                8,
                listOf(CrashCounts.Entry(FINGERPRINT, 2, CrashCounts.Quarantined(listOf(FINGERPRINT)))),
            ),
            SendingTime(9, 10),
        ),
    ),
    Sample(WatchRequest.serializer(), WatchRequest(SELF.name, 7)),
    Sample(
        CrashReport.serializer(),
        CrashReport(listOf(CrashReport.UpstreamCrash(UPSTREAM, CRASHES)), listOf(FINGERPRINT)),
    ),
    Sample(CrashReportReply.serializer(), CrashReportReply(true, SELF.name)),
    Sample(JoinAnnouncement.serializer(), JoinAnnouncement(SELF, DATA_CENTRE)),
    Sample(JoinReply.serializer(), JoinReply(true, SELF.name, listOf(SELF.name, OTHER.name), 3)),
    Sample(SubmitReply.serializer(), SubmitReply.NotLeader(SELF.name)),
    Sample(
        SubscriberReport.serializer(),
        SubscriberReport(
            SELF.name,
            DATA_CENTRE,
            Revision.NONE,
            listOf(SubscriberReport(OTHER.name, DATA_CENTRE, Revision.NONE)),
        ),
    ),
)

/** Returns [bytes] with one to four changes. */
private fun mutant(bytes: ByteArray, random: Random): ByteArray {
    var result = bytes.toList()
    repeat(random.nextInt(1, 5)) {
        if (result.isEmpty()) return result.toByteArray()
        val at = random.nextInt(result.size)
        val other = random.nextInt(at, result.size)
        result = when (random.nextInt(6)) {
            0 -> result.take(at)
            1 -> result.take(at) + random.nextInt(256).toByte() + result.drop(at + 1)
            2 -> result.take(at) + random.nextBytes(random.nextInt(1, 12)).toList() + result.drop(at)
            3 -> result.take(at) + result.drop(other)
            4 -> result.take(other) + result.drop(at)
            else -> result.take(at) + List(random.nextInt(1, 6)) { -1 } + 7 + result.drop(at)
        }
    }
    return result.toByteArray()
}

/** Checks that decoding [bytes] gives a message or the one exception that callers handle. */
private fun checkDecoding(marshaller: ProtobufMarshaller<*>, bytes: ByteArray) {
    val failure = runCatching { marshaller.parse(ByteArrayInputStream(bytes)) }.exceptionOrNull() ?: return
    failure.shouldBeInstanceOf<StatusRuntimeException>().status.code shouldBe Status.Code.INVALID_ARGUMENT
}

private fun allocatedBytes(): Long =
    (ManagementFactory.getThreadMXBean() as com.sun.management.ThreadMXBean).currentThreadAllocatedBytes

private fun varint(number: Int): ByteArray {
    val output = ByteArrayOutputStream()
    var rest = number
    while (rest >= 0x80) {
        output.write(rest and 0x7f or 0x80)
        rest = rest ushr 7
    }
    output.write(rest)
    return output.toByteArray()
}

/** Returns a [SubscriberReport] whose reports of others enclose each other [depth] times. */
private fun nestedReports(depth: Int): ByteArray {
    val heads = ArrayDeque<ByteArray>()
    var size = 0
    repeat(depth) {
        val head = byteArrayOf(0x22) + varint(size)
        heads.addFirst(head)
        size += head.size
    }
    return heads.fold(ByteArrayOutputStream()) { output, head -> output.apply { write(head) } }.toByteArray()
}

private fun onSmallStack(action: () -> Unit) {
    val outcome = CompletableFuture<Throwable?>()
    Thread(null, { outcome.complete(runCatching(action).exceptionOrNull()) }, "small-stack", STACK_BYTES).start()
    outcome.get(20, TimeUnit.SECONDS)?.let { throw it }
}

class MessageFuzzTest :
    DescribeSpec({
        // Guards against a message that ends the thread which decodes it.
        describe("a message that was changed on its way or is of another type") {
            SAMPLES.forEach { sample ->
                val name = sample.serializer.descriptor.serialName.substringAfterLast('.')
                it("is decoded or refused as $name, at a cost in proportion to its size") {
                    repeat(MUTANTS) { seed ->
                        val random = Random(seed)
                        val source = if (random.nextInt(4) == 0) SAMPLES.random(random) else sample
                        val bytes = mutant(source.encoded, random)
                        withClue("seed $seed") {
                            val before = allocatedBytes()
                            val outcome = runCatching { checkDecoding(sample.marshaller, bytes) }
                            val taken = allocatedBytes() - before
                            outcome.getOrThrow()
                            withClue("$taken bytes allocated for ${bytes.size}") {
                                (taken <= BASE_BYTES + BYTES_PER_BYTE * bytes.size).shouldBeTrue()
                            }
                        }
                    }
                }
            }
        }
        // Guards against a message that exhausts the stack of the thread which decodes it.
        describe("a message that is nested more deeply than the stack allows") {
            it("is refused") {
                val marshaller = ProtobufMarshaller(SubscriberReport.serializer())
                onSmallStack { checkDecoding(marshaller, nestedReports(depth = 50_000)) }
            }
        }
    })
