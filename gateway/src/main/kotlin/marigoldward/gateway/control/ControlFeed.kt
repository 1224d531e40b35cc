package marigoldward.gateway.control

import io.grpc.stub.StreamObserver
import marigoldward.core.model.InstanceId
import marigoldward.gateway.GatewaySettings
import marigoldward.support.log.EventLog
import marigoldward.support.time.MonotonicClock
import marigoldward.wire.feed.FeedRpc
import marigoldward.wire.feed.FeedUpdate
import marigoldward.wire.feed.WatchRequest
import marigoldward.wire.rpc.RpcClient

/**
 * Follows one control instance after the other.
 *
 * @param execute runs an action on the loop's thread, which all of this is used by
 * @param routesVersion the version of the configuration in force here
 * @param onUpdate told of each update of the instance that is followed, and whether that is fresh
 */
internal class ControlFeed(
    private val settings: GatewaySettings,
    private val execute: (() -> Unit) -> Unit,
    private val routesVersion: () -> Long,
    private val onUpdate: (FeedUpdate, Boolean) -> Unit,
) : AutoCloseable {
    private val source = FeedSource(settings.dataCentre, Math.floorMod(settings.id.text.hashCode(), DRAWS))
    private var client: RpcClient? = null
    private var number = 0L
    private var wasFresh = false

    /** Whether what is known of the control state is as good as new. */
    val isFresh: Boolean get() = source.isFresh(MonotonicClock.nowMillis())

    /** Uses [seeds] from now on. */
    fun changeSeeds(seeds: List<InstanceId>) = source.changeSeeds(seeds)

    /** Moves to another control instance if the current one does not do. */
    fun maintain() {
        val nowMillis = MonotonicClock.nowMillis()
        reportChange(nowMillis)
        source.nextOrNull(nowMillis)?.let(::open)
    }

    override fun close() {
        number++
        client?.close()
    }

    private fun open(instance: InstanceId) {
        val address = settings.cluster.rpcAddressOrNull(instance) ?: return
        client?.close()
        val opened = RpcClient.to(address, settings.cluster.identity)
        client = opened
        number++
        log.info("control_followed") { field("control", instance) }
        opened.openStream(FeedRpc.WATCH, WatchRequest(settings.id, routesVersion()), Updates(instance, number))
    }

    private fun reportChange(nowMillis: Long) {
        val isFresh = source.isFresh(nowMillis)
        if (isFresh == wasFresh) return
        wasFresh = isFresh
        if (isFresh) {
            log.info("control_regained") { field("control", source.current) }
        } else {
            log.warn("control_lost") { field("control", source.current) }
        }
    }

    private fun updated(instance: InstanceId, opened: Long, update: FeedUpdate) {
        if (opened != number) return
        val nowMillis = MonotonicClock.nowMillis()
        source.heard(instance, update.dataCentre, update.members, update.maxStalenessMillis, nowMillis)
        onUpdate(update, source.isFresh(nowMillis))
    }

    private fun lost(instance: InstanceId, opened: Long, reason: String?) {
        if (opened != number) return
        source.lost(instance)
        log.info("control_broke_off") {
            field("control", instance)
            field("reason", reason)
        }
    }

    private inner class Updates(private val instance: InstanceId, private val opened: Long) :
        StreamObserver<FeedUpdate> {
        override fun onNext(value: FeedUpdate) = execute { updated(instance, opened, value) }

        override fun onError(failure: Throwable) = execute { lost(instance, opened, failure.message) }

        override fun onCompleted() = execute { lost(instance, opened, "ended") }
    }

    private companion object {
        const val DRAWS = 1_000_000
        val log = EventLog.fromName("feed")
    }
}
