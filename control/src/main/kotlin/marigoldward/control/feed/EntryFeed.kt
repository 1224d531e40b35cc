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
import marigoldward.wire.feed.CrashCounts
import marigoldward.wire.feed.DirectorySnapshot
import marigoldward.wire.feed.FeedRpc
import marigoldward.wire.feed.FeedUpdate
import marigoldward.wire.feed.SendingTime
import marigoldward.wire.feed.WatchRequest
import marigoldward.wire.rpc.ServiceBuilder

/**
 * Streams the route configuration in force and the list of upstreams to the entries that watch this instance: changes
 * at once, and heartbeats in between.
 *
 * @param crashReports receives the entries' reports of crashed upstreams
 * @param status returns the status of this instance's replica
 */
internal class EntryFeed(
    private val dataCentre: DataCentre,
    private val crashReports: CrashReports,
    private val status: () -> PublishedStatus,
) {
    private val lock = Any()
    private var watchers = emptyList<Watcher>()
    private var routes: RouteDocument? = null
    private var directory: DirectoryReading? = null
    private var crashCounts: CrashCounts? = null
    private var remoteEntryCounts = emptyMap<InstanceId, EntryCount>()

    private data class EntryCount(val count: Int, val receivedMillis: Long)

    /** The service that entries call. */
    val service: ServerServiceDefinition =
        ServiceBuilder
            .named(FeedRpc.SERVICE)
            .serverStreaming(FeedRpc.WATCH, ::watch)
            .unaryAsync(FeedRpc.REPORT_CRASHES, crashReports::report)
            .build()

    /** Returns the number to send to the other replicas: the sum if this one leads, otherwise its own entries. */
    fun entryCountToShare(): Int = synchronized(lock) { if (status().isLeader) totalEntryCount() else ownEntryCount() }

    /** Records [count], the number that [replica] has sent. */
    fun onEntryCount(replica: InstanceId, count: Int) {
        synchronized(lock) {
            remoteEntryCounts = remoteEntryCounts + (replica to EntryCount(count, MonotonicClock.nowMillis()))
        }
    }

    /** Sends the configuration [document] to all watchers. */
    fun onRoutesChanged(document: RouteDocument) {
        synchronized(lock) {
            if (document == routes) return
            routes = document
            watchers.forEach(::send)
        }
    }

    /** Records [reading], and sends the list to all watchers if it has changed. */
    fun onDirectoryRead(reading: DirectoryReading) {
        synchronized(lock) {
            val isChanged = directory?.upstreams != reading.upstreams
            directory = reading
            if (isChanged) watchers.forEach(::send)
        }
    }

    /** Sends the crash counts to all watchers if they have changed since the last call. */
    fun sendCrashCounts() {
        synchronized(lock) {
            if (crashCounts?.version == crashReports.version) return
            crashCounts = crashReports.crashCounts
            watchers.forEach(::send)
        }
    }

    /** Sends a heartbeat to all watchers. */
    fun sendHeartbeats() {
        synchronized(lock) {
            watchers = watchers.filter { !it.stream.isCancelled }
            watcherCount.set(watchers.size.toDouble())
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
            stream.setOnCancelHandler { remove(watcher) }
            watchers.filter { it.subscriber == request.subscriber }.forEach(::cancel)
            watchers = watchers.filter { it.subscriber != request.subscriber } + watcher
            send(watcher)
        }
        log.info("watch_started") {
            field("entry", request.subscriber)
            field("routes_version", request.routesVersion)
        }
    }

    private fun remove(watcher: Watcher) {
        synchronized(lock) { watchers = watchers - watcher }
        log.info("watch_ended") { field("entry", watcher.subscriber) }
    }

    /** Ends the stream of [watcher], whose entry has started another. */
    private fun cancel(watcher: Watcher) {
        runCatching { watcher.stream.onError(Status.CANCELLED.withDescription("watched again").asException()) }
    }

    /** Sends an update to [watcher]. One that is not ready for more gets nothing until it is. */
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
        watcher.crashVersion = update.crashCounts?.version ?: watcher.crashVersion
    }

    private fun updateFor(watcher: Watcher): FeedUpdate {
        val nowMillis = MonotonicClock.nowMillis()
        val current = status()
        val staleMillis = nowMillis - current.lastUpToDateMillis
        if (watcher.freshSinceMillis == null && staleMillis < MAX_FRESH_AGE_MILLIS) watcher.freshSinceMillis = nowMillis
        val reading = directory
        return FeedUpdate(
            routes = routes?.takeIf { it.version > watcher.routesVersion },
            directory = reading?.takeIf { it.upstreams != watcher.directory }?.let { DirectorySnapshot(it.upstreams) },
            directoryAgeMillis = reading?.let { nowMillis - it.readMillis },
            maxStalenessMillis = staleMillis,
            entryCount = totalEntryCount(),
            members = current.members,
            dataCentre = dataCentre,
            crashCounts = crashCounts?.takeIf { it.version != watcher.crashVersion },
            sentAt = SendingTime(MonotonicClock.id, nowMillis),
        )
    }

    /**
     * Returns the number of entries that follow this replica. An entry that looks for a replica with fresh state may
     * watch several, and ends all but one when it has found one.
     */
    private fun ownEntryCount(): Int {
        val nowMillis = MonotonicClock.nowMillis()
        return watchers.count { watcher ->
            watcher.freshSinceMillis?.let { nowMillis - it >= MIN_FOLLOWED_MILLIS } ?: false
        }
    }

    /**
     * Returns the number of entries that follow any replica. A leader adds up recent numbers, a follower has the
     * leader's.
     */
    private fun totalEntryCount(): Int {
        val current = status()
        if (!current.isLeader) return remoteEntryCounts[current.leader]?.count ?: ownEntryCount()
        val oldestMillis = MonotonicClock.nowMillis() - MAX_ENTRY_COUNT_AGE_MILLIS
        return ownEntryCount() + remoteEntryCounts.values.filter { it.receivedMillis > oldestMillis }.sumOf { it.count }
    }

    private class Watcher(
        val subscriber: InstanceId,
        val stream: ServerCallStreamObserver<FeedUpdate>,
        var routesVersion: Long,
    ) {
        var directory: List<ListedUpstream>? = null
        var crashVersion: Long? = null

        /** When fresh state was first sent, in milliseconds of monotonic time, or null before. */
        var freshSinceMillis: Long? = null
    }

    private companion object {
        /** The age up to which the number of another replica counts; several of its heartbeats. */
        const val MAX_ENTRY_COUNT_AGE_MILLIS = 3_000L

        /** The age up to which an entry takes state for fresh. */
        const val MAX_FRESH_AGE_MILLIS = 1_000L

        /** The time within which an entry that was sent fresh state ends its watches of other replicas. */
        const val MIN_FOLLOWED_MILLIS = 500L
        val log = EventLog.fromName("feed")
        val watcherCount: Gauge =
            Gauge
                .builder()
                .name("marigoldward_feed_watchers")
                .help("Entries that follow this process")
                .register()
    }
}
