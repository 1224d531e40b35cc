package marigoldward.gateway.control

import marigoldward.core.model.DataCentre
import marigoldward.core.model.InstanceId

/**
 * Selects the control instance that a gateway follows: one with fresh state, preferably in the gateway's data centre.
 *
 * Has no clock or connection of its own.
 *
 * @param firstChoice a non-negative number that determines the first instance; gateways pass different numbers to
 *   spread over the instances
 */
internal class FeedSource(private val dataCentre: DataCentre, private val firstChoice: Int) {
    private var seeds = emptyList<InstanceId>()
    private var members = emptyList<InstanceId>()
    private val dataCentres = HashMap<InstanceId, DataCentre>()
    private val lastFollowedMillis = HashMap<InstanceId, Long>()

    /** The followed instance, or null before the first was selected. */
    var current: InstanceId? = null
        private set
    private var followedSinceMillis = 0L
    private var lastUpdateMillis = Long.MIN_VALUE / 2
    private var stateAsOfMillis = Long.MIN_VALUE / 2

    /** Replaces the seed instances. */
    fun changeSeeds(seeds: List<InstanceId>) {
        this.seeds = seeds
    }

    /** Records an update of [instance], whose state may lack the changes of the last [staleMillis] milliseconds. */
    fun recordUpdate(
        instance: InstanceId,
        instanceDataCentre: DataCentre,
        members: List<InstanceId>,
        staleMillis: Long,
        nowMillis: Long,
    ) {
        dataCentres[instance] = instanceDataCentre
        if (instance != current) return
        lastUpdateMillis = nowMillis
        stateAsOfMillis = nowMillis - staleMillis
        if (members.isNotEmpty()) this.members = members
    }

    /** Records that the stream of updates of [instance] has ended or failed. */
    fun recordLost(instance: InstanceId) {
        if (instance == current) lastUpdateMillis = Long.MIN_VALUE / 2
    }

    /** Returns the time since the last update of the current instance, or null if there was none on its stream. */
    fun updateAgeMillisOrNull(nowMillis: Long): Long? = (nowMillis - lastUpdateMillis).takeIf { lastUpdateMillis > Long.MIN_VALUE / 2 }

    /** Returns the greatest possible age of the state of the current instance, or null if it has sent none. */
    fun stateAgeMillisOrNull(nowMillis: Long): Long? = (nowMillis - stateAsOfMillis).takeIf { lastUpdateMillis > Long.MIN_VALUE / 2 }

    /** Whether the last update of the current instance, and the state in it, are recent enough at [nowMillis]. */
    fun isFresh(nowMillis: Long): Boolean =
        nowMillis - lastUpdateMillis < MAX_FRESH_AGE_MILLIS && nowMillis - stateAsOfMillis < MAX_FRESH_AGE_MILLIS

    /** Selects and returns another instance to follow, or returns null to stay with the current one. */
    fun selectNextOrNull(nowMillis: Long): InstanceId? {
        val candidates = (seeds + members).distinct()
        val followed = current
        val selected = when {
            candidates.isEmpty() -> null
            followed == null -> candidates[firstChoice % candidates.size]
            isFresh(nowMillis) -> closerOrNull(followed, candidates)
            nowMillis - followedSinceMillis < FIRST_UPDATE_TIMEOUT_MILLIS -> null
            else -> candidates.filter { it != followed }.minByOrNull { lastFollowedMillis[it] ?: Long.MIN_VALUE }
        }
        if (selected != null) follow(selected, nowMillis)
        return selected
    }

    private fun follow(instance: InstanceId, nowMillis: Long) {
        current = instance
        followedSinceMillis = nowMillis
        lastFollowedMillis[instance] = nowMillis
        lastUpdateMillis = Long.MIN_VALUE / 2
        stateAsOfMillis = Long.MIN_VALUE / 2
    }

    /**
     * Returns an instance that was not followed yet and whose data centre is unknown or, failing that, this gateway's.
     * Returns null if there is none or [followed] is in this gateway's data centre.
     */
    private fun closerOrNull(followed: InstanceId, candidates: List<InstanceId>): InstanceId? {
        if (dataCentres[followed] == dataCentre) return null
        return candidates.firstOrNull { it != followed && it !in lastFollowedMillis && it !in dataCentres }
            ?: candidates.firstOrNull { it != followed && dataCentres[it] == dataCentre && it !in lastFollowedMillis }
    }

    private companion object {
        /**
         * Two heartbeats of a control instance plus the time for transmission; half of the time that a change may take
         * to reach the gateways.
         */
        const val MAX_FRESH_AGE_MILLIS = 1_000L

        /** The time that a newly followed instance has to accept the connection and send its first update. */
        const val FIRST_UPDATE_TIMEOUT_MILLIS = 500L
    }
}
