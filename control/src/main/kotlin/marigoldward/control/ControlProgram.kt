package marigoldward.control

import marigoldward.control.operator.ControlService
import marigoldward.control.peer.PeerLinks
import marigoldward.control.peer.PeerService
import marigoldward.control.peer.SharedStateSource
import marigoldward.control.replica.ReplicaDuty
import marigoldward.control.replica.ReplicaDutyEvent
import marigoldward.control.storage.ReplicaStore
import marigoldward.core.control.ControlState
import marigoldward.core.getOrNull
import marigoldward.core.replication.ReplicaId
import marigoldward.core.replication.ReplicaMessage
import marigoldward.core.replication.ReplicationTiming
import marigoldward.support.duty.Duty
import marigoldward.support.http.OperatorServer
import marigoldward.support.log.EventLog
import marigoldward.support.time.TimerService
import marigoldward.wire.distribution.DistributionUpdate
import marigoldward.wire.distribution.SubscriptionHub
import marigoldward.wire.rpc.ClusterIdentity
import marigoldward.wire.rpc.RpcServer

/** A running control instance. */
public class ControlProgram private constructor(
    private val parts: List<AutoCloseable>,
    /** The port for other processes of the system. */
    public val port: Int,
    /** The port for operators' HTTP requests. */
    public val operatorPort: Int,
) : AutoCloseable {
    override fun close() {
        parts.forEach { part -> runCatching { part.close() } }
    }

    /** Starts control instances. */
    public companion object {
        private const val RING_EVENTS = 8_192
        private const val DISTRIBUTION_RING_EVENTS = 1_024
        private const val TICK_MILLIS = 100L
        private const val JOIN_PERIOD_MILLIS = 1_000L
        private const val EXPIRY_PERIOD_MILLIS = 1_000L
        private val log = EventLog.fromName("control")

        /**
         * Starts a new cluster that consists of this instance alone, for tests and trials.
         *
         * @throws IllegalStateException if the data folder can't be used
         */
        public fun startSingle(settings: ControlSettings): ControlProgram {
            val self = ReplicaId(settings.id, 1)
            ReplicaStore.initialise(settings.dataFolder, settings.clusterId, self, setOf(self))
            val store = ReplicaStore.open(settings.dataFolder, settings.clusterId, self).getOrNull()
            return start(settings, checkNotNull(store) { "data folder ${settings.dataFolder} can't be used" })
        }

        /** Starts the instance with [settings] and the data in [store]. */
        internal fun start(settings: ControlSettings, store: ReplicaStore): ControlProgram {
            val identity = ClusterIdentity(settings.clusterId, settings.key)
            val hub = SubscriptionHub.create(settings.maxSubscribers)
            val distributionThread = Duty.start<DistributionUpdate>("distribution", DISTRIBUTION_RING_EVENTS) {
                hub.publish(it.last())
            }
            val links = PeerLinks(settings.id, identity, settings.peers::get, SharedStateSource.None)
            val replica =
                ReplicaDuty(
                    store,
                    ReplicationTiming.DEFAULT,
                    System.nanoTime(),
                    outputs(store, links, distributionThread),
                )
            val replicaThread = Duty.start("replica", RING_EVENTS, replica::handle)
            val timer = startTimers(settings, store, links, replicaThread, hub)
            val services = listOf(
                PeerService(settings.peers::containsKey, replicaThread, replica::status) {}.service,
                ControlService(replicaThread, hub).service,
                hub.service,
            )
            val server = RpcServer.start(settings.listen, identity, services)
            val operator = OperatorServer.start(settings.operatorListen, settings.key, isReady = { true })
            log.info("started") {
                field("instance", settings.id)
                field("replica", store.replica)
                field("torn_bytes", store.recovered.tornBytes)
            }
            val parts = listOf(timer, operator, server, replicaThread, distributionThread, links, store)
            return ControlProgram(parts, server.port, operator.port)
        }

        private fun outputs(
            store: ReplicaStore,
            links: PeerLinks,
            distributionThread: Duty<DistributionUpdate>,
        ): ReplicaDuty.Outputs = object : ReplicaDuty.Outputs {
            /**
             * The last published update, with an index of 0. Claims and leases, which change most often, are not part
             * of it.
             */
            private var lastPublished: DistributionUpdate? = null

            override fun send(to: ReplicaId, message: ReplicaMessage) = links.send(store.replica, to, message)

            override fun onStateChanged(state: ControlState, index: Long) {
                val update = toUpdate(state, index)
                if (update.copy(stateIndex = 0) == lastPublished) return
                lastPublished = update.copy(stateIndex = 0)
                distributionThread.put(update)
            }
        }

        private fun toUpdate(state: ControlState, index: Long): DistributionUpdate = DistributionUpdate(
            revision = state.revision,
            bundle = state.bundle,
            quarantineVersion = state.quarantineVersion,
            quarantine = state.quarantine.keys.toList(),
            setAsideEngines = state.engines.filterValues { it.isSetAside }.keys.toList(),
            stateIndex = index,
        )

        private fun startTimers(
            settings: ControlSettings,
            store: ReplicaStore,
            links: PeerLinks,
            replicaThread: Duty<ReplicaDutyEvent>,
            hub: SubscriptionHub,
        ): TimerService {
            val timer = TimerService.start()
            timer.subscribe(TICK_MILLIS) { replicaThread.offer(ReplicaDutyEvent.Tick) }
            timer.subscribe(EXPIRY_PERIOD_MILLIS, hub::dropExpired)
            if (store.recovered.snapshot.point.members.all.isEmpty()) {
                timer.subscribe(JOIN_PERIOD_MILLIS) { links.announce(store.replica, null, settings.peers.keys) }
            }
            return timer
        }
    }
}
