package marigoldward.control.cluster

import marigoldward.control.feed.EntryFeed
import marigoldward.control.feed.SharedDirectory
import marigoldward.control.peer.PeerLinks
import marigoldward.control.peer.PeerNews
import marigoldward.control.peer.PeerService
import marigoldward.control.replica.ReplicaDuty
import marigoldward.control.replica.ReplicaDutyEvent
import marigoldward.control.routes.RouteStore
import marigoldward.control.stages.EngineControl
import marigoldward.control.stages.StageDuty
import marigoldward.control.storage.ReplicaStore
import marigoldward.core.control.ControlState
import marigoldward.core.dispatch.ListedUpstream
import marigoldward.core.model.InstanceId
import marigoldward.core.replication.MembershipPlanner
import marigoldward.core.replication.ReplicaId
import marigoldward.core.replication.ReplicaMessage
import marigoldward.core.replication.ReplicationTiming
import marigoldward.core.routes.RouteDocumentReader
import marigoldward.support.directory.DirectoryDuty
import marigoldward.support.directory.DirectoryReading
import marigoldward.support.directory.DirectorySource
import marigoldward.support.duty.Duty
import marigoldward.support.log.EventLog
import marigoldward.support.time.MonotonicClock
import marigoldward.support.time.TimerService
import marigoldward.wire.peer.DirectoryUpdate
import marigoldward.wire.peer.JoinReply
import marigoldward.wire.peer.PeerEnvelope
import marigoldward.wire.rpc.RpcServer
import java.net.InetSocketAddress

/** One running control instance of a cluster that finds its members by itself. */
public class ClusterProgram private constructor(
    private val settings: ClusterSettings,
    private val store: ReplicaStore,
    reader: RouteDocumentReader,
    directorySource: DirectorySource,
    engines: EngineControl,
) : AutoCloseable {
    private val cluster = settings.cluster
    private val timer = TimerService.start()
    private val feed: EntryFeed = EntryFeed(settings.dataCentre) { replica.published }
    private val links = PeerLinks(settings.ip, cluster.identity, cluster::rpcAddressOrNull, News())
    private val replica: ReplicaDuty =
        ReplicaDuty(
            store,
            ReplicationTiming.FAST_FAILOVER,
            System.nanoTime(),
            ReplicaOutputs(),
            MembershipPlanner.forToleratedFailures(settings.lostInstances),
        )
    private val duty = Duty.start("replica", RING_EVENTS, replica::handle)
    private val directory = DirectoryDuty(directorySource, ::directoryRead)
    private val shared = SharedDirectory(System.nanoTime())
    private val stages = StageDuty(settings.ip, engines, duty, settings.leaseMillis + SETTLE_MARGIN_MILLIS, ::listed)

    @Volatile
    private var seeds = cluster.seedInstances

    /** The members as told by an instance that is one; used while this one is none. */
    @Volatile
    private var told: JoinReply? = null

    /** The operators' configurations. */
    public val routes: RouteStore = RouteStore(duty, reader)

    private val peers = PeerService(::isPeer, duty, { replica.published }, ::newsCame)
    private val server =
        RpcServer.start(
            InetSocketAddress(settings.ip.text, cluster.rpcPort),
            cluster.identity,
            listOf(peers.service, feed.service),
        )

    /** The instance that leads as far as is known here, or null. */
    public val leader: InstanceId?
        get() = replica.published.leader ?: told?.leader

    /** Uses [seeds] from now on. */
    public fun changeSeeds(seeds: List<InstanceId>) {
        if (seeds == this.seeds) return
        log.info("seeds_changed") { field("seeds", seeds.joinToString(",")) }
        this.seeds = seeds
    }

    override fun close() {
        log.info("ending")
        duty.put(ReplicaDutyEvent.Leave)
        listOf(timer, server, stages, directory, duty, links, store).forEach { part -> runCatching { part.close() } }
        log.info("ended")
    }

    private fun startTimers() {
        timer.subscribe(TICK_MILLIS) { duty.offer(ReplicaDutyEvent.Tick) }
        timer.subscribe(BEAT_MILLIS, feed::beat)
        timer.subscribe(DIRECTORY_MILLIS, ::readDirectoryIfDue)
        timer.subscribe(STAGES_MILLIS, stages::poll)
        timer.subscribe(JOIN_MILLIS, ::announceIfOutside)
    }

    private fun listed(): List<ListedUpstream> = shared.readingOrNull?.upstreams.orEmpty()

    private fun readDirectoryIfDue() {
        val current = replica.published
        val role = when {
            current.isLeader -> SharedDirectory.Role.LEADER
            current.isMember -> SharedDirectory.Role.FOLLOWER
            else -> SharedDirectory.Role.OUTSIDER
        }
        if (shared.shouldRead(role, MonotonicClock.nowMillis())) directory.poll()
    }

    private fun directoryRead(reading: DirectoryReading) {
        if (shared.read(reading)) directoryChanged()
    }

    private fun newsCame(envelope: PeerEnvelope) {
        feed.entriesTold(envelope.from.name, envelope.entryCount)
        val news = envelope.directory ?: return
        if (shared.told(news, MonotonicClock.nowMillis())) directoryChanged()
    }

    private fun directoryChanged() {
        shared.readingOrNull?.let(feed::directoryRead)
    }

    /** Any instance of the cluster may be a peer: identity is checked with each call. */
    private fun isPeer(name: InstanceId): Boolean = cluster.rpcAddressOrNull(name) != null

    /** A replica that has heard of no leader for long may have been replaced meanwhile. */
    private fun announceIfOutside() {
        val current = replica.published
        val silenceMillis = MonotonicClock.nowMillis() - current.currentMillis
        if (current.isMember && silenceMillis < OUTSIDE_MILLIS) {
            told = null
            return
        }
        val peers = (seeds + current.members + told?.members.orEmpty()).distinct()
        links.announce(store.replica, settings.dataCentre, peers) { reply ->
            if (reply.leader != null) told = reply
        }
    }

    private inner class News : PeerNews {
        override fun entries(): Int = feed.entriesToTell()

        override fun directoryOrNull(toldEdition: Long?): DirectoryUpdate? =
            if (replica.published.isLeader) shared.newsOrNull(toldEdition, MonotonicClock.nowMillis()) else null
    }

    private inner class ReplicaOutputs : ReplicaDuty.Outputs {
        override fun send(to: ReplicaId, message: ReplicaMessage) = links.send(store.replica, to, message)

        override fun stateChanged(state: ControlState, index: Long) {
            state.routes?.let(feed::routesChanged)
        }
    }

    /** Starts instances. */
    public companion object {
        private const val RING_EVENTS = 4_096
        private const val TICK_MILLIS = 100L

        /** How often entries hear of this instance; a third of what they allow, in milliseconds. */
        private const val BEAT_MILLIS = 400L

        /** How often a replica checks whether it is to read the directory, in milliseconds. */
        private const val DIRECTORY_MILLIS = 200L

        /** How often the leader looks at the engines, in milliseconds; each look is a call to each. */
        private const val STAGES_MILLIS = 1_000L

        /** How much longer than a lease a new leader waits before it orders, in milliseconds. */
        private const val SETTLE_MARGIN_MILLIS = 1_000L
        private const val JOIN_MILLIS = 300L

        /** Longer than an election takes, in milliseconds. */
        private const val OUTSIDE_MILLIS = 4_000L
        private val log = EventLog.fromName("control")

        /** Starts the instance; waits until its disk can be used. */
        public fun start(
            settings: ClusterSettings,
            reader: RouteDocumentReader,
            directory: DirectorySource,
            engines: EngineControl,
        ): ClusterProgram {
            val store = ClusterStore.open(settings)
            val program = ClusterProgram(settings, store, reader, directory, engines)
            program.startTimers()
            log.info("started") {
                field("replica", store.replica)
                field("first_start", settings.isFirstStart)
                field("torn_bytes", store.recovered.tornBytes)
                field("members", program.replica.published.members.joinToString(","))
            }
            return program
        }
    }
}
