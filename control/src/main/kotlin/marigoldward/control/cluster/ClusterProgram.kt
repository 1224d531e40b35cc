package marigoldward.control.cluster

import marigoldward.control.capacity.CapacityDuty
import marigoldward.control.capacity.DemandExchange
import marigoldward.control.capacity.ScaledServices
import marigoldward.control.duties.ProviderCalls
import marigoldward.control.duties.ProviderDuty
import marigoldward.control.exchange.EntryExchanges
import marigoldward.control.feed.CrashReports
import marigoldward.control.feed.EntryFeed
import marigoldward.control.feed.SharedDirectory
import marigoldward.control.peer.PeerLinks
import marigoldward.control.peer.PeerService
import marigoldward.control.peer.SharedStateSource
import marigoldward.control.replica.LeaderTerm
import marigoldward.control.replica.ReplicaDuty
import marigoldward.control.replica.ReplicaDutyEvent
import marigoldward.control.routes.RouteStore
import marigoldward.control.stages.EngineControl
import marigoldward.control.stages.StageDuty
import marigoldward.control.storage.ReplicaStore
import marigoldward.control.usage.UsageDuty
import marigoldward.control.usage.UsageExchange
import marigoldward.core.capacity.EngineScaling
import marigoldward.core.control.ControlCommand
import marigoldward.core.control.ControlState
import marigoldward.core.model.InstanceId
import marigoldward.core.model.PoolName
import marigoldward.core.replication.MembershipPlanner
import marigoldward.core.replication.ReplicaId
import marigoldward.core.replication.ReplicaMessage
import marigoldward.core.replication.ReplicationTiming
import marigoldward.core.routes.RouteDocumentReader
import marigoldward.core.usage.UsageWindows
import marigoldward.support.directory.DirectoryDuty
import marigoldward.support.directory.DirectoryReading
import marigoldward.support.directory.DirectorySource
import marigoldward.support.duty.Duty
import marigoldward.support.log.EventLog
import marigoldward.support.program.ListenWait
import marigoldward.support.time.MonotonicClock
import marigoldward.support.time.SystemClocks
import marigoldward.support.time.TimerService
import marigoldward.wire.control.SubmitReply
import marigoldward.wire.peer.DirectoryUpdate
import marigoldward.wire.peer.PeerEnvelope
import marigoldward.wire.rpc.RpcServer
import java.net.InetSocketAddress
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

/** A running control instance of a cluster that changes its members without an operator. */
public class ClusterProgram private constructor(
    private val settings: ClusterSettings,
    private val store: ReplicaStore,
    reader: RouteDocumentReader,
    directorySource: DirectorySource,
    engines: EngineControl,
    provider: Provider?,
) : AutoCloseable {
    /** The platform's provider: [calls] to it, and the [duties] that the deployment asks for. */
    public class Provider(public val calls: ProviderCalls, public val duties: Set<ProviderDuty>)

    /** The control state as of the newest applied entry. */
    @Volatile
    private var controlState = ControlState.EMPTY

    private val cluster = settings.cluster
    private val timer = TimerService.start()
    private val crashReports: CrashReports = CrashReports(::submit) { replica.status }
    private val feed: EntryFeed = EntryFeed(settings.dataCentre, crashReports) { replica.status }
    private val links = PeerLinks(settings.ip, cluster.identity, cluster::rpcAddressOrNull, PeerState())
    private val replica: ReplicaDuty =
        ReplicaDuty(
            store,
            ReplicationTiming.FAST_FAILOVER,
            System.nanoTime(),
            ReplicaOutputs(),
            MembershipPlanner.forToleratedFailures(settings.lostInstances, settings.catchUpMillis),
        )
    private val replicaThread: Duty<ReplicaDutyEvent> = Duty.start("replica", RING_EVENTS, replica::handle)
    private val directoryReader = DirectoryDuty(directorySource, ::onDirectoryRead)
    private val sharedDirectory = SharedDirectory(System.nanoTime(), MonotonicClock.id)
    private val usage = provider?.takeIf { ProviderDuty.USAGE_REPORTS in it.duties }?.let(::newUsageReporting)
    private val scaledServices = ScaledServices(reader) { controlState.routes }
    private val ordersEngines = provider != null && ProviderDuty.ENGINE_ORDERS in provider.duties
    private val stages =
        StageDuty(settings.ip, engines, newLeaderTerm(), { scaling().keys }) { sharedDirectory.readingOrNull }
    private val demand = DemandExchange(feed::entryCountToShare)
    private val capacity = provider?.takeIf { ordersEngines }?.let { newCapacityDuty(it) }
    private val exchanges =
        EntryExchanges(cluster, replicaThread, listOfNotNull(usage?.exchange, demand)) { replica.status }

    @Volatile
    private var seeds = cluster.seedInstances

    private val joinReplies = JoinReplies(settings.ip)

    /** Stores and reads the route configurations of operators. */
    public val routes: RouteStore = RouteStore(replicaThread, reader, ::leader)

    private val peers = PeerService(::hasAddress, replicaThread, { replica.status }, ::onEnvelope)
    private val server =
        RpcServer.start(
            InetSocketAddress(settings.ip.text, cluster.rpcPort),
            cluster.identity,
            listOf(peers.service, feed.service, exchanges.service),
            ListenWait.UntilFree,
        )

    /** The instance that leads, as far as this one knows, or null. */
    public val leader: InstanceId?
        get() = replica.status.leader ?: joinReplies.leaderOrNull(MonotonicClock.nowMillis())

    /** Replaces the seeds, which this instance asks to join while it is not a member. */
    public fun changeSeeds(seeds: List<InstanceId>) {
        if (seeds == this.seeds) return
        log.info("seeds_changed") { field("seeds", seeds.joinToString(",")) }
        this.seeds = seeds
    }

    override fun close() {
        log.info("ending")
        replicaThread.put(ReplicaDutyEvent.Resign)
        val duties = listOfNotNull(usage?.duty, capacity, stages)
        val parts = listOf(timer, server, exchanges) + duties + listOf(directoryReader, replicaThread, links, store)
        parts.forEach { part -> runCatching { part.close() } }
        log.info("ended")
    }

    private fun newLeaderTerm(): LeaderTerm = LeaderTerm(replicaThread, settings.leaseMillis + TAKEOVER_MARGIN_MILLIS)

    private class UsageReporting(val exchange: UsageExchange, val duty: UsageDuty)

    private fun newUsageReporting(provider: Provider): UsageReporting? {
        val windowMillis = settings.duties.usageWindowMillis ?: return null
        val dueMillis = settings.duties.usageDueMillis ?: return null
        val exchange = UsageExchange(
            UsageWindows(windowMillis),
            dueMillis,
            recordedWindow = { controlState.usage.lastWindow },
            term = { replica.status.term },
            readClocks = SystemClocks::read,
        )
        val duty = UsageDuty(
            settings.duties.holder,
            provider.calls,
            newLeaderTerm(),
            exchange,
            Math.ceil(MILLIS_PER_SECOND / maxOf(settings.duties.callsPerSecond, MIN_CALLS_PER_SECOND)).toLong(),
            { controlState.usage },
            ::submitAndWait,
        )
        return UsageReporting(exchange, duty)
    }

    /** Returns the services whose engines this instance orders. Only the leader reads the configuration for them. */
    private fun scaling(): Map<PoolName, EngineScaling> =
        if (ordersEngines && replica.status.isLeader) scaledServices.current() else emptyMap()

    private fun newCapacityDuty(provider: Provider): CapacityDuty = CapacityDuty(
        settings.duties.holder,
        provider.calls,
        newLeaderTerm(),
        ::scaling,
        { sharedDirectory.readingOrNull },
        demand::neededEnginesOrNull,
    )

    private fun startTimers() {
        timer.subscribe(TICK_PERIOD_MILLIS) {
            replicaThread.offer(ReplicaDutyEvent.Tick)
            feed.sendCrashCounts()
        }
        timer.subscribe(HEARTBEAT_PERIOD_MILLIS, feed::sendHeartbeats)
        timer.subscribe(EXCHANGE_PERIOD_MILLIS, exchanges::replyToWaiting)
        timer.subscribe(DIRECTORY_CHECK_PERIOD_MILLIS, ::readDirectoryIfDue)
        timer.subscribe(STAGE_POLL_PERIOD_MILLIS) {
            stages.poll()
            crashReports.startDueTrials(MonotonicClock.nowMillis())
        }
        capacity?.let { timer.subscribe(DUTY_PERIOD_MILLIS, it::poll) }
        usage?.let { timer.subscribe(DUTY_PERIOD_MILLIS, it.duty::poll) }
        timer.subscribe(JOIN_PERIOD_MILLIS, ::announceIfNotMember)
    }

    /** Submits [command] to the replica, or returns false if too many requests wait; [onReply] gets its outcome. */
    private fun submit(command: ControlCommand, onReply: (SubmitReply) -> Unit): Boolean =
        replicaThread.offer(ReplicaDutyEvent.Submit(command, onReply))

    /** Submits [command] to the replica and waits for its outcome, for longer than an election takes. */
    private fun submitAndWait(command: ControlCommand): SubmitReply {
        val answer = CompletableFuture<SubmitReply>()
        if (!submit(command, answer::complete)) return SubmitReply.Refused("too many requests are waiting")
        return try {
            answer.get(SUBMIT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        } catch (_: TimeoutException) {
            SubmitReply.Unknown
        }
    }

    private fun readDirectoryIfDue() {
        val current = replica.status
        val role = when {
            current.isLeader -> SharedDirectory.Role.LEADER
            current.isMember -> SharedDirectory.Role.FOLLOWER
            else -> SharedDirectory.Role.OUTSIDER
        }
        if (sharedDirectory.markReadStartedIfDue(role, MonotonicClock.nowMillis())) directoryReader.poll()
    }

    private fun onDirectoryRead(reading: DirectoryReading) {
        if (sharedDirectory.recordReading(reading)) sendDirectoryToEntries()
    }

    private fun onEnvelope(envelope: PeerEnvelope) {
        feed.onEntryCount(envelope.from.name, envelope.entryCount)
        val update = envelope.directory ?: return
        if (sharedDirectory.receive(update, MonotonicClock.nowMillis())) sendDirectoryToEntries()
    }

    private fun sendDirectoryToEntries() {
        sharedDirectory.readingOrNull?.let(feed::onDirectoryRead)
    }

    /** Any instance of the cluster may be a peer: each call authenticates its sender as one of the cluster. */
    private fun hasAddress(name: InstanceId): Boolean = cluster.rpcAddressOrNull(name) != null

    /**
     * Asks to join while this replica is not a member. A member that has long heard from no leader asks too, because it
     * may have been replaced without knowing it.
     */
    private fun announceIfNotMember() {
        val current = replica.status
        val stalenessMillis = MonotonicClock.nowMillis() - current.lastUpToDateMillis
        if (current.isMember && stalenessMillis < LEADER_SILENCE_TIMEOUT_MILLIS) {
            joinReplies.clear()
            return
        }
        val peers = (seeds + current.members + joinReplies.members).distinct()
        joinReplies.recordAnnouncement(current.isMember, stalenessMillis, peers)
        links.announce(store.replica, settings.dataCentre, peers) { sender, reply ->
            joinReplies.recordReply(sender, reply, MonotonicClock.nowMillis())
        }
    }

    private inner class PeerState : SharedStateSource {
        override fun entryCount(): Int = feed.entryCountToShare()

        override fun directoryUpdateOrNull(sentEdition: Long?): DirectoryUpdate? =
            if (replica.status.isLeader) sharedDirectory.updateOrNull(sentEdition, MonotonicClock.nowMillis()) else null
    }

    private inner class ReplicaOutputs : ReplicaDuty.Outputs {
        override fun send(to: ReplicaId, message: ReplicaMessage) = links.send(store.replica, to, message)

        override fun onStateChanged(state: ControlState, index: Long) {
            controlState = state
            state.routes?.let(feed::onRoutesChanged)
            crashReports.onStateChanged(state)
        }
    }

    /** Starts control instances. */
    public companion object {
        private const val RING_EVENTS = 4_096
        private const val TICK_PERIOD_MILLIS = 100L

        /** A third of the time after which entries give up a silent instance. */
        private const val HEARTBEAT_PERIOD_MILLIS = 400L

        /** How long the leader collects requests of entries before a majority confirms it for all of them. */
        private const val EXCHANGE_PERIOD_MILLIS = 50L

        /** How often a replica checks whether its list of upstreams is due to be read. */
        private const val DIRECTORY_CHECK_PERIOD_MILLIS = 200L

        /** How often the leader reads the status of the engines, which takes a call to each. */
        private const val STAGE_POLL_PERIOD_MILLIS = 1_000L

        /** How much longer than a lease a new leader waits before it sends orders to engines. */
        private const val TAKEOVER_MARGIN_MILLIS = 1_000L

        /** How often the leader looks for duties that are due. */
        private const val DUTY_PERIOD_MILLIS = 500L
        private const val SUBMIT_TIMEOUT_MILLIS = 3_000L
        private const val MILLIS_PER_SECOND = 1_000.0
        private const val MIN_CALLS_PER_SECOND = 0.1
        private const val JOIN_PERIOD_MILLIS = 300L

        /** The time without a leader after which a member asks to join. Longer than an election takes. */
        private const val LEADER_SILENCE_TIMEOUT_MILLIS = 4_000L
        private val log = EventLog.fromName("control")

        /** Starts the instance with [settings]. Waits until its data folder can be used and its address is free. */
        public fun start(
            settings: ClusterSettings,
            reader: RouteDocumentReader,
            directory: DirectorySource,
            engines: EngineControl,
            provider: Provider? = null,
        ): ClusterProgram {
            val store = ClusterStore.open(settings)
            val program = ClusterProgram(settings, store, reader, directory, engines, provider)
            program.startTimers()
            log.info("started") {
                field("replica", store.replica)
                field("first_start", settings.isFirstStart)
                field("torn_bytes", store.recovered.tornBytes)
                field("members", program.replica.status.members.joinToString(","))
            }
            return program
        }
    }
}
