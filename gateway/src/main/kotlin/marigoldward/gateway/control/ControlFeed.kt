package marigoldward.gateway.control

import io.grpc.stub.StreamObserver
import marigoldward.core.model.InstanceId
import marigoldward.core.routes.RouteDocument
import marigoldward.gateway.GatewayMetrics
import marigoldward.gateway.GatewaySettings
import marigoldward.support.log.EventLog
import marigoldward.support.time.MonotonicClock
import marigoldward.wire.feed.FeedRpc
import marigoldward.wire.feed.FeedUpdate
import marigoldward.wire.feed.WatchRequest
import marigoldward.wire.rpc.RpcClient

/**
 * Subscribes to the updates of one control instance, and moves to another when they stop or are outdated, as
 * [FeedSource] decides.
 *
 * Confined to the event loop thread.
 *
 * @param runOnLoop runs an action on the event loop thread
 * @param schedule runs an action on the event loop thread after a delay in milliseconds
 * @param routesVersion returns the version of the configuration in force in this process
 * @param onRoutes receives each configuration that is sent, by the followed instance or by one that is tried, and
 *   whether it comes from fresh state
 * @param onUpdate receives each update of the followed instance, and whether it is fresh
 */
internal class ControlFeed(
    private val settings: GatewaySettings,
    private val runOnLoop: (() -> Unit) -> Unit,
    private val schedule: (Long, () -> Unit) -> Unit,
    private val routesVersion: () -> Long,
    private val onRoutes: (RouteDocument, Boolean) -> Unit,
    private val onUpdate: (FeedUpdate, Boolean) -> Unit,
) : AutoCloseable {
    private val source =
        FeedSource(settings.dataCentre, Math.floorMod(settings.id.text.hashCode(), FIRST_CHOICE_RANGE))
    private val streams = HashMap<InstanceId, Stream>()
    private var wasFresh = false
    private var lostMillis = MonotonicClock.nowMillis()
    private var isClosed = false

    /** Whether the known control state is fresh, as defined by [FeedSource.isFresh]. */
    val isFresh: Boolean get() = source.isFresh(MonotonicClock.nowMillis())

    /** The followed control instance, or null before the first. */
    val current: InstanceId? get() = source.current

    /** The client of the followed control instance, or null if no stream to it is open. */
    val currentClient: RpcClient? get() = streams[source.current]?.client

    /** Replaces the seed instances. */
    fun changeSeeds(seeds: List<InstanceId>) = source.changeSeeds(seeds)

    /** Moves to another control instance if a better one than the current one is known. Called at short intervals. */
    fun maintain() {
        if (isClosed) return
        val nowMillis = MonotonicClock.nowMillis()
        logFreshnessChange(nowMillis)
        source.stateAgeMillisOrNull(nowMillis)?.let(GatewayMetrics::setControlStateAge)
        perform(source.advance(nowMillis), nowMillis)
    }

    override fun close() {
        isClosed = true
        streams.values.forEach { it.client?.close() }
        streams.clear()
    }

    private fun perform(steps: List<FeedStep>, nowMillis: Long) {
        steps.forEach { step ->
            when (step) {
                is FeedStep.Close -> closeStream(step.instance, nowMillis)
                is FeedStep.Follow -> logFollowed(step.instance, nowMillis)
                is FeedStep.Open -> openStream(step.instance, nowMillis)
            }
        }
        if (steps.any { it is FeedStep.Open }) schedule(FeedSource.HEAD_START_MILLIS, ::maintain)
    }

    private fun openStream(instance: InstanceId, nowMillis: Long) {
        log.info("control_tried") {
            field("control", instance)
            field("last_update_ms", source.updateAgeMillisOrNull(nowMillis))
            field("version", routesVersion())
        }
        val address = settings.cluster.rpcAddressOrNull(instance)
        val stream = Stream(instance, address?.let { RpcClient.to(it, settings.cluster.identity) }, nowMillis)
        streams[instance] = stream
        if (stream.client == null) return runOnLoop { onEnded(stream, "the name is no IP address") }
        stream.client.openStream(FeedRpc.WATCH, WatchRequest(settings.id, routesVersion()), stream)
    }

    private fun closeStream(instance: InstanceId, nowMillis: Long) {
        val stream = streams.remove(instance) ?: return
        stream.client?.close()
        log.info("control_closed") {
            field("control", instance)
            field("open_ms", nowMillis - stream.openedMillis)
            field("updates", stream.updates)
        }
    }

    private fun logFollowed(instance: InstanceId, nowMillis: Long) {
        val stream = streams[instance] ?: return
        log.info("control_followed") {
            field("control", instance)
            field("answer_ms", nowMillis - stream.openedMillis)
            field("version", routesVersion())
        }
    }

    private fun logFreshnessChange(nowMillis: Long) {
        val problem = source.freshnessProblemOrNull(nowMillis)
        val isFresh = problem == null
        if (isFresh == wasFresh) return
        wasFresh = isFresh
        if (isFresh) {
            log.info("control_regained") {
                field("control", source.current)
                field("took_ms", nowMillis - lostMillis)
                field("state_age_ms", source.stateAgeMillisOrNull(nowMillis))
                field("delay_ms", streams[source.current]?.delayMillis)
                field("version", routesVersion())
            }
        } else {
            lostMillis = nowMillis
            log.warn("control_lost") {
                field("control", source.current)
                field("reason", problem.name.lowercase())
                field("last_update_ms", source.updateAgeMillisOrNull(nowMillis))
                field("state_age_ms", source.stateAgeMillisOrNull(nowMillis))
                field("delay_ms", streams[source.current]?.delayMillis)
                field("version", routesVersion())
            }
        }
    }

    private fun onUpdateReceived(stream: Stream, update: FeedUpdate) {
        if (streams[stream.instance] !== stream) return
        val nowMillis = MonotonicClock.nowMillis()
        stream.hold(update, nowMillis)
        val staleMillis = update.maxStalenessMillis + stream.delayMillis
        val steps = with(update) { source.recordUpdate(stream.instance, dataCentre, members, staleMillis, nowMillis) }
        perform(steps, nowMillis)
        logFreshnessChange(nowMillis)
        update.routes?.let { onRoutes(it, source.isFreshState(staleMillis)) }
        if (source.current == stream.instance) onUpdate(stream.takeHeld(), source.isFresh(nowMillis))
    }

    private fun onEnded(stream: Stream, reason: String?) {
        if (streams[stream.instance] !== stream) return
        streams.remove(stream.instance)
        stream.client?.close()
        val nowMillis = MonotonicClock.nowMillis()
        log.info("control_broke_off") {
            field("control", stream.instance)
            field("reason", reason)
            field("open_ms", nowMillis - stream.openedMillis)
            field("updates", stream.updates)
        }
        perform(source.recordEnded(stream.instance, nowMillis), nowMillis)
        logFreshnessChange(nowMillis)
    }

    private inner class Stream(val instance: InstanceId, val client: RpcClient?, val openedMillis: Long) :
        StreamObserver<FeedUpdate> {
        private val delays = UpdateDelays(openedMillis)
        private var held: FeedUpdate? = null
        var updates = 0L
            private set

        /** How long the last update was under way, in milliseconds. */
        var delayMillis = 0L
            private set

        /** Keeps [update], received at [nowMillis], with the parts of earlier ones that the instance sends only once. */
        fun hold(update: FeedUpdate, nowMillis: Long) {
            updates++
            delayMillis = delays.delayMillis(update.sentAt, nowMillis)
            held = update.copy(
                directory = update.directory ?: held?.directory,
                crashCounts = update.crashCounts ?: held?.crashCounts,
            )
        }

        fun takeHeld(): FeedUpdate = checkNotNull(held).also { held = null }

        override fun onNext(value: FeedUpdate) = runOnLoop { onUpdateReceived(this, value) }

        override fun onError(failure: Throwable) = runOnLoop { onEnded(this, failure.message) }

        override fun onCompleted() = runOnLoop { onEnded(this, "ended") }
    }

    private companion object {
        const val FIRST_CHOICE_RANGE = 1_000_000
        val log = EventLog.fromName("feed")
    }
}
