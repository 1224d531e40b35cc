package marigoldward.gateway.control

import io.grpc.stub.StreamObserver
import marigoldward.core.model.InstanceId
import marigoldward.gateway.GatewayMetrics
import marigoldward.gateway.GatewaySettings
import marigoldward.support.log.EventLog
import marigoldward.support.time.MonotonicClock
import marigoldward.wire.feed.FeedRpc
import marigoldward.wire.feed.FeedUpdate
import marigoldward.wire.feed.WatchRequest
import marigoldward.wire.rpc.RpcClient

/**
 * Subscribes to the updates of one control instance at a time, and moves to another when they stop or are outdated.
 *
 * Confined to the event loop thread.
 *
 * @param runOnLoop runs an action on the event loop thread
 * @param routesVersion returns the version of the configuration in force in this process
 * @param onUpdate receives each update of the followed instance, and whether it is fresh
 */
internal class ControlFeed(
    private val settings: GatewaySettings,
    private val runOnLoop: (() -> Unit) -> Unit,
    private val routesVersion: () -> Long,
    private val onUpdate: (FeedUpdate, Boolean) -> Unit,
) : AutoCloseable {
    private val source =
        FeedSource(settings.dataCentre, Math.floorMod(settings.id.text.hashCode(), FIRST_CHOICE_RANGE))
    private var client: RpcClient? = null
    private var streamNumber = 0L
    private var wasFresh = false
    private var lostMillis = MonotonicClock.nowMillis()

    /** Whether the known control state is fresh, as defined by [FeedSource.isFresh]. */
    val isFresh: Boolean get() = source.isFresh(MonotonicClock.nowMillis())

    /** The followed control instance, or null before the first. */
    val current: InstanceId? get() = source.current

    /** Replaces the seed instances. */
    fun changeSeeds(seeds: List<InstanceId>) = source.changeSeeds(seeds)

    /** Moves to another control instance if a better one than the current one is known. Called at short intervals. */
    fun maintain() {
        val nowMillis = MonotonicClock.nowMillis()
        logFreshnessChange(nowMillis)
        source.stateAgeMillisOrNull(nowMillis)?.let(GatewayMetrics::setControlStateAge)
        source.selectNextOrNull(nowMillis)?.let(::follow)
    }

    override fun close() {
        streamNumber++
        client?.close()
    }

    private fun follow(instance: InstanceId) {
        val address = settings.cluster.rpcAddressOrNull(instance) ?: return
        client?.close()
        val newClient = RpcClient.to(address, settings.cluster.identity)
        client = newClient
        streamNumber++
        log.info("control_followed") {
            field("control", instance)
            field("version", routesVersion())
        }
        val request = WatchRequest(settings.id, routesVersion())
        newClient.openStream(FeedRpc.WATCH, request, UpdateObserver(instance, streamNumber))
    }

    private fun logFreshnessChange(nowMillis: Long) {
        val isFresh = source.isFresh(nowMillis)
        if (isFresh == wasFresh) return
        wasFresh = isFresh
        if (isFresh) {
            log.info("control_regained") {
                field("control", source.current)
                field("took_ms", nowMillis - lostMillis)
                field("version", routesVersion())
            }
        } else {
            lostMillis = nowMillis
            log.warn("control_lost") {
                field("control", source.current)
                field("last_update_ms", source.updateAgeMillisOrNull(nowMillis))
                field("state_age_ms", source.stateAgeMillisOrNull(nowMillis))
                field("version", routesVersion())
            }
        }
    }

    private fun onUpdateReceived(instance: InstanceId, stream: Long, update: FeedUpdate) {
        if (stream != streamNumber) return
        val nowMillis = MonotonicClock.nowMillis()
        source.recordUpdate(instance, update.dataCentre, update.members, update.maxStalenessMillis, nowMillis)
        onUpdate(update, source.isFresh(nowMillis))
    }

    private fun onStreamLost(instance: InstanceId, stream: Long, reason: String?) {
        if (stream != streamNumber) return
        source.recordLost(instance)
        log.info("control_broke_off") {
            field("control", instance)
            field("reason", reason)
        }
    }

    private inner class UpdateObserver(private val instance: InstanceId, private val stream: Long) :
        StreamObserver<FeedUpdate> {
        override fun onNext(value: FeedUpdate) = runOnLoop { onUpdateReceived(instance, stream, value) }

        override fun onError(failure: Throwable) = runOnLoop { onStreamLost(instance, stream, failure.message) }

        override fun onCompleted() = runOnLoop { onStreamLost(instance, stream, "ended") }
    }

    private companion object {
        const val FIRST_CHOICE_RANGE = 1_000_000
        val log = EventLog.fromName("feed")
    }
}
