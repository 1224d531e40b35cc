package marigoldward.control.feed

import io.grpc.ServerServiceDefinition
import io.grpc.Status
import io.grpc.stub.ServerCallStreamObserver
import io.prometheus.metrics.core.metrics.Gauge
import marigoldward.control.replica.PublishedStatus
import marigoldward.core.dispatch.ListedUpstream
import marigoldward.core.model.DataCentre
import marigoldward.core.model.InstanceId
import marigoldward.core.routes.RouteDocument
import marigoldward.support.directory.DirectoryReading
import marigoldward.support.log.EventLog
import marigoldward.support.time.MonotonicClock
import marigoldward.wire.feed.DirectorySnapshot
import marigoldward.wire.feed.FeedRpc
import marigoldward.wire.feed.FeedUpdate
import marigoldward.wire.feed.WatchRequest
import marigoldward.wire.rpc.ServiceBuilder

/**
 * Tells entries the configuration in force and the directory of upstreams: what changed at once, else a heartbeat.
 *
 * @param status what the replica last published of itself
 */
internal class EntryFeed(private val dataCentre: DataCentre, private val status: () -> PublishedStatus) {
    private val lock = Any()
    private var watchers = emptyList<Watcher>()
    private var routes: RouteDocument? = null
    private var directory: DirectoryReading? = null
    private var entriesElsewhere = emptyMap<InstanceId, EntryCount>()

    private data class EntryCount(val entries: Int, val toldMillis: Long)

    /** The service that entries call. */
    val service: ServerServiceDefinition =
        ServiceBuilder.named(FeedRpc.SERVICE).serverStreaming(FeedRpc.WATCH, ::watch).build()

    /** The number to tell other replicas: a leader tells the sum, the others what they have themselves. */
    fun entriesToTell(): Int = synchronized(lock) { if (status().isLeader) total() else watchers.size }

    /** Notes what another replica told. */
    fun entriesTold(replica: InstanceId, entries: Int) {
        synchronized(lock) {
            entriesElsewhere = entriesElsewhere + (replica to EntryCount(entries, MonotonicClock.nowMillis()))
        }
    }

    /** Tells everybody the configuration [document]. */
    fun routesChanged(document: RouteDocument) {
        synchronized(lock) {
            if (document == routes) return
            routes = document
            watchers.forEach(::send)
        }
    }

    /** Notes [reading] and tells everybody if the list changed. */
    fun directoryRead(reading: DirectoryReading) {
        synchronized(lock) {
            val isChanged = directory?.upstreams != reading.upstreams
            directory = reading
            if (isChanged) watchers.forEach(::send)
        }
    }

    /** Sends everybody a heartbeat. */
    fun beat() {
        synchronized(lock) {
            watchers = watchers.filter { !it.stream.isCancelled }
            count.set(watchers.size.toDouble())
            watchers.forEach(::send)
        }
    }

    private fun watch(request: WatchRequest, stream: ServerCallStreamObserver<FeedUpdate>) {
        if (!status().isMember) {
            stream.onError(Status.UNAVAILABLE.withDescription("this instance is no member yet").asException())
            return
        }
        synchronized(lock) {
            val watcher = Watcher(request.subscriber, stream, request.routesVersion)
            stream.setOnCancelHandler { forget(watcher) }
            watchers.filter { it.subscriber == request.subscriber }.forEach(::end)
            watchers = watchers.filter { it.subscriber != request.subscriber } + watcher
            send(watcher)
        }
        log.info("watch_started") {
            field("entry", request.subscriber)
            field("routes_version", request.routesVersion)
        }
    }

    private fun forget(watcher: Watcher) {
        synchronized(lock) { watchers = watchers - watcher }
        log.info("watch_ended") { field("entry", watcher.subscriber) }
    }

    private fun end(watcher: Watcher) {
        runCatching { watcher.stream.onError(Status.CANCELLED.withDescription("watched again").asException()) }
    }

    /** A watcher that does not take what was sent gets nothing more until it does. */
    private fun send(watcher: Watcher) {
        if (!watcher.stream.isReady) return
        val update = updateFor(watcher)
        runCatching { watcher.stream.onNext(update) }.onFailure { failure ->
            log.info("watch_broken") {
                field("entry", watcher.subscriber)
                field("reason", failure)
            }
        }
        watcher.routesVersion = update.routes?.version ?: watcher.routesVersion
        if (update.directory != null) watcher.directory = directory?.upstreams
    }

    private fun updateFor(watcher: Watcher): FeedUpdate {
        val nowMillis = MonotonicClock.nowMillis()
        val current = status()
        val reading = directory
        return FeedUpdate(
            routes = routes?.takeIf { it.version > watcher.routesVersion },
            directory = reading?.takeIf { it.upstreams != watcher.directory }?.let { DirectorySnapshot(it.upstreams) },
            directoryAgeMillis = reading?.let { nowMillis - it.readMillis },
            maxStalenessMillis = nowMillis - current.currentMillis,
            entryCount = total(),
            members = current.members,
            dataCentre = dataCentre,
        )
    }

    /** A follower takes the leader's sum; a leader adds up what it was told lately. */
    private fun total(): Int {
        val current = status()
        if (!current.isLeader) return entriesElsewhere[current.leader]?.entries ?: watchers.size
        val oldestMillis = MonotonicClock.nowMillis() - COUNT_LIFE_MILLIS
        return watchers.size + entriesElsewhere.values.filter { it.toldMillis > oldestMillis }.sumOf { it.entries }
    }

    private class Watcher(
        val subscriber: InstanceId,
        val stream: ServerCallStreamObserver<FeedUpdate>,
        var routesVersion: Long,
    ) {
        var directory: List<ListedUpstream>? = null
    }

    private companion object {
        /** How long what another replica told of its entries counts, in milliseconds; several of its heartbeats. */
        const val COUNT_LIFE_MILLIS = 3_000L
        val log = EventLog.fromName("feed")
        val count: Gauge =
            Gauge
                .builder()
                .name("marigoldward_feed_watchers")
                .help("Entries that follow this process")
                .register()
    }
}
