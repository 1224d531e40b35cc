package marigoldward.gateway.control

import marigoldward.core.model.DataCentre
import marigoldward.core.model.InstanceId

/**
 * Which control instance an entry follows: one that has the newest state, if possible in the entry's data centre.
 *
 * Without clock or connection of its own.
 */
internal class FeedSource(private val dataCentre: DataCentre, private val draw: Int) {
    private var seeds = emptyList<InstanceId>()
    private var members = emptyList<InstanceId>()
    private val dataCentres = HashMap<InstanceId, DataCentre>()
    private val triedMillis = HashMap<InstanceId, Long>()

    /** The instance that is followed, or null before the first. */
    var current: InstanceId? = null
        private set
    private var sinceMillis = 0L
    private var heardMillis = Long.MIN_VALUE / 2
    private var currentAsOfMillis = Long.MIN_VALUE / 2

    /** Uses [seeds] from now on. */
    fun changeSeeds(seeds: List<InstanceId>) {
        this.seeds = seeds
    }

    /** Notes an update of [instance], which may have missed the last [staleMillis] milliseconds. */
    fun heard(instance: InstanceId, place: DataCentre, members: List<InstanceId>, staleMillis: Long, nowMillis: Long) {
        dataCentres[instance] = place
        if (instance != current) return
        heardMillis = nowMillis
        currentAsOfMillis = nowMillis - staleMillis
        if (members.isNotEmpty()) this.members = members
    }

    /** Notes that [instance] can't be followed. */
    fun lost(instance: InstanceId) {
        if (instance == current) heardMillis = Long.MIN_VALUE / 2
    }

    /** Whether what the current instance says is as good as new at [nowMillis]. */
    fun isFresh(nowMillis: Long): Boolean =
        nowMillis - heardMillis < FRESH_MILLIS && nowMillis - currentAsOfMillis < FRESH_MILLIS

    /** Returns another instance to follow, or null to stay with the current one. */
    fun nextOrNull(nowMillis: Long): InstanceId? {
        val candidates = (seeds + members).distinct()
        val here = current
        val wants = when {
            candidates.isEmpty() -> null
            here == null -> candidates[draw % candidates.size]
            isFresh(nowMillis) -> nearerOrNull(here, candidates)
            nowMillis - sinceMillis < PATIENCE_MILLIS -> null
            else -> candidates.filter { it != here }.minByOrNull { triedMillis[it] ?: Long.MIN_VALUE }
        }
        if (wants != null) follow(wants, nowMillis)
        return wants
    }

    private fun follow(instance: InstanceId, nowMillis: Long) {
        current = instance
        sinceMillis = nowMillis
        triedMillis[instance] = nowMillis
        heardMillis = Long.MIN_VALUE / 2
        currentAsOfMillis = Long.MIN_VALUE / 2
    }

    /** One in the same data centre, or one of which it is not known and that has not been tried. */
    private fun nearerOrNull(here: InstanceId, candidates: List<InstanceId>): InstanceId? {
        if (dataCentres[here] == dataCentre) return null
        return candidates.firstOrNull { it != here && it !in triedMillis && it !in dataCentres }
            ?: candidates.firstOrNull { it != here && dataCentres[it] == dataCentre && it !in triedMillis }
    }

    private companion object {
        /** Two heartbeats of a control instance and the way, in milliseconds; half the time a change may take. */
        const val FRESH_MILLIS = 1_000L

        /** How long a new source has to say something, in milliseconds: connecting and one answer. */
        const val PATIENCE_MILLIS = 500L
    }
}
