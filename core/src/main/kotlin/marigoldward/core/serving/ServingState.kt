package marigoldward.core.serving

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import marigoldward.core.config.SiteConfiguration
import marigoldward.core.config.UpstreamPool
import marigoldward.core.control.Fingerprint
import marigoldward.core.model.CallerId
import marigoldward.core.model.ClassName
import marigoldward.core.model.DataCentre
import marigoldward.core.model.InstanceId
import marigoldward.core.model.PoolName
import marigoldward.core.model.RequestId
import marigoldward.core.model.UpstreamId

/**
 * The complete serving state of one entry process.
 *
 * @property answeringUpstreams the upstream that answers each attempt in flight
 * @property waitingByCaller the number of waiting requests of each caller; callers without any are absent
 * @property quarantine the fingerprints of requests that are refused because they crash upstreams
 * @property crashCounts how many upstreams crashed one after the other while they ran requests with a fingerprint, since
 *   one was last answered; fingerprints without crashes are absent
 * @property setAside the engines that get no requests because their state is unknown
 * @property entries all live entry processes, this one included
 * @property randomState the state of the pseudo-random generator for routing and retry jitter
 */
public data class ServingState(
    val self: InstanceId,
    val dataCentre: DataCentre,
    val configuration: SiteConfiguration,
    val pools: PersistentMap<PoolName, PoolState>,
    val upstreams: PersistentMap<UpstreamId, UpstreamState>,
    val answeringUpstreams: PersistentMap<RequestId, UpstreamId>,
    val waitingByCaller: PersistentMap<CallerId, Int>,
    val retryBudgets: PersistentMap<ClassName, RetryBudget>,
    val quarantine: PersistentSet<Fingerprint>,
    val crashCounts: PersistentMap<Fingerprint, Int>,
    val setAside: PersistentSet<UpstreamId>,
    val entries: List<InstanceId>,
    val isShuttingDown: Boolean,
    val randomState: Long,
) {
    /** Returns the declaration of [pool], or null if the pool is unknown. */
    public fun declarationOrNull(pool: PoolName): UpstreamPool? = pools[pool]?.declaration

    /** The number of attempts in flight and waiting requests. */
    val openRequests: Int
        get() = answeringUpstreams.size + pools.values.sumOf { pool -> pool.queues.values.sumOf { it.size } }

    /**
     * The serving state of one pool.
     *
     * @property members the ids of its upstreams, sorted; a list allows random picks by index
     * @property queues the waiting requests by class
     * @property isTopClassActive whether a request of the highest class arrived recently
     * @property lastTopClassArrivalMillis when the last request of the highest class arrived, in milliseconds of
     *     monotonic time
     */
    public data class PoolState(
        val declaration: UpstreamPool,
        val members: List<UpstreamId>,
        val queues: PersistentMap<ClassName, ClassQueue>,
        val isTopClassActive: Boolean = false,
        val lastTopClassArrivalMillis: Long = Long.MIN_VALUE / 2,
    )

    /** Creates initial states. */
    public companion object {
        /** Returns the state of a process that has just started; [seed] determines its random choices. */
        public fun create(
            self: InstanceId,
            dataCentre: DataCentre,
            configuration: SiteConfiguration,
            seed: Long,
        ): ServingState = ServingState(
            self = self,
            dataCentre = dataCentre,
            configuration = configuration,
            pools = persistentMapOf(),
            upstreams = persistentMapOf(),
            answeringUpstreams = persistentMapOf(),
            waitingByCaller = persistentMapOf(),
            retryBudgets = persistentMapOf(),
            quarantine = persistentSetOf(),
            crashCounts = persistentMapOf(),
            setAside = persistentSetOf(),
            entries = listOf(self),
            isShuttingDown = false,
            randomState = seed,
        ).withPools(configuration)
    }
}
