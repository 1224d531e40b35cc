package marigoldward.gateway.control

import marigoldward.core.model.DataCentre
import marigoldward.core.model.InstanceId

/**
 * Selects the control instance that a gateway follows: one with fresh state, preferably in the gateway's data centre.
 *
 * Normally there is one stream, that of the followed instance. When its updates stop, or its state is outdated, the
 * gateway searches for another: it opens a stream of one instance and, unless that answers within
 * [HEAD_START_MILLIS], streams of all others at the same time. The first with fresh state is followed and the other
 * streams are closed. The streams of instances that answer with outdated state stay open, so that the first of them
 * whose state becomes fresh is followed. A stream without updates is replaced after [SILENCE_MILLIS], and one that has
 * ended after [RETRY_MILLIS].
 *
 * So if any of at most [MAX_TRIALS] candidates has fresh state and is reachable, the gateway follows it
 * [MAX_FRESH_AGE_MILLIS] + the interval between calls of [advance] + [HEAD_START_MILLIS] + the time for the connection
 * and its first update after the last update of the instance before, however many candidates do not answer.
 *
 * Has no clock or connection of its own: the caller passes the time, and carries out the returned steps in their order.
 *
 * @param firstChoice a non-negative number that determines the first instance; gateways pass different numbers to
 *   spread over the instances
 */
internal class FeedSource(private val dataCentre: DataCentre, private val firstChoice: Int) {
    private var seeds = emptyList<InstanceId>()
    private var members = emptyList<InstanceId>()
    private val dataCentres = HashMap<InstanceId, DataCentre>()

    /** The open streams. */
    private val streams = LinkedHashMap<InstanceId, Stream>()

    /** When the last stream of an instance failed that has not sent an update since. */
    private val failures = HashMap<InstanceId, StreamFailure>()

    /** The instances that were followed, or tried because they might be in this gateway's data centre. */
    private val visited = HashSet<InstanceId>()
    private var searchStartedMillis: Long? = null

    /** An instance that may be in this gateway's data centre and whose stream is open besides that of [current]. */
    private var closer: InstanceId? = null

    /** The instance followed last, or null before the first was selected. Its stream may have ended. */
    var current: InstanceId? = null
        private set
    private var lastUpdateMillis = NEVER_MILLIS
    private var stateAsOfMillis = NEVER_MILLIS

    private class Stream(val openedMillis: Long, var lastUpdateMillis: Long? = null) {
        fun silentForMillis(nowMillis: Long): Long = nowMillis - (lastUpdateMillis ?: openedMillis)
    }

    private class StreamFailure(val failedMillis: Long, val retryMillis: Long)

    /** Replaces the seed instances. */
    fun changeSeeds(seeds: List<InstanceId>) {
        this.seeds = seeds
    }

    /** Returns the time since the last update of [current], in milliseconds, or null before the first. */
    fun updateAgeMillisOrNull(nowMillis: Long): Long? = (nowMillis - lastUpdateMillis).takeIf { current != null }

    /** Returns the greatest possible age of the state of [current], in milliseconds, or null before the first. */
    fun stateAgeMillisOrNull(nowMillis: Long): Long? = (nowMillis - stateAsOfMillis).takeIf { current != null }

    /** Whether state that may lack the changes of the last [staleMillis] milliseconds is fresh. */
    fun isFreshState(staleMillis: Long): Boolean = staleMillis < MAX_FRESH_AGE_MILLIS

    /** Whether the stream of [current] is open, and its last update and the state in it are recent at [nowMillis]. */
    fun isFresh(nowMillis: Long): Boolean = freshnessProblemOrNull(nowMillis) == null

    /** Returns why the known state is not fresh at [nowMillis], or null if it is. */
    fun freshnessProblemOrNull(nowMillis: Long): FreshnessProblem? = when {
        current == null -> FreshnessProblem.NONE_FOUND
        current !in streams -> FreshnessProblem.ENDED
        nowMillis - lastUpdateMillis >= MAX_FRESH_AGE_MILLIS -> FreshnessProblem.SILENT
        nowMillis - stateAsOfMillis >= MAX_FRESH_AGE_MILLIS -> FreshnessProblem.OUTDATED
        else -> null
    }

    /** Why the known state is not fresh. */
    enum class FreshnessProblem { NONE_FOUND, ENDED, SILENT, OUTDATED }

    /**
     * Records an update of [instance], whose state may lack the changes of the last [staleMillis] milliseconds before
     * [nowMillis], including the time for which the update was under way, and returns the next steps.
     */
    fun recordUpdate(
        instance: InstanceId,
        instanceDataCentre: DataCentre,
        members: List<InstanceId>,
        staleMillis: Long,
        nowMillis: Long,
    ): List<FeedStep> {
        val stream = streams[instance] ?: return emptyList()
        stream.lastUpdateMillis = nowMillis
        dataCentres[instance] = instanceDataCentre
        failures.remove(instance)
        val steps = ArrayList<FeedStep>()
        if (instance != current) {
            val isFollowed = isBetterThanCurrent(instance, staleMillis, nowMillis)
            if (isFollowed) {
                follow(instance, nowMillis, steps)
            } else if (instance == closer) {
                closeStream(instance, steps)
            }
            if (instance == closer) closer = null
        }
        if (instance == current) {
            lastUpdateMillis = nowMillis
            stateAsOfMillis = nowMillis - staleMillis
            if (members.isNotEmpty()) this.members = members
        }
        steps += advance(nowMillis)
        return steps
    }

    /** Records that the stream of [instance] has ended or failed, and returns the next steps. */
    fun recordEnded(instance: InstanceId, nowMillis: Long): List<FeedStep> {
        if (streams.remove(instance) == null) return emptyList()
        failures[instance] = StreamFailure(nowMillis, nowMillis + RETRY_MILLIS)
        if (instance == closer) closer = null
        return advance(nowMillis)
    }

    /** Returns the steps that are due at [nowMillis]. Called at short intervals. */
    fun advance(nowMillis: Long): List<FeedStep> {
        val steps = ArrayList<FeedStep>()
        if (needsAnother(nowMillis)) continueSearch(nowMillis, steps) else endSearch(nowMillis, steps)
        return steps
    }

    /** Whether another instance is needed. Silence counts before the state is outdated, as a search takes time. */
    private fun needsAnother(nowMillis: Long): Boolean =
        !isFresh(nowMillis) || nowMillis - lastUpdateMillis >= SUSPICIOUS_SILENCE_MILLIS

    private fun isBetterThanCurrent(instance: InstanceId, staleMillis: Long, nowMillis: Long): Boolean {
        val isFresh = isFreshState(staleMillis)
        return when {
            current !in streams -> true
            instance == closer -> isFresh && dataCentres[instance] == dataCentre
            !needsAnother(nowMillis) -> false
            else -> isFresh || nowMillis - lastUpdateMillis >= SILENCE_MILLIS
        }
    }

    private fun follow(instance: InstanceId, nowMillis: Long, steps: MutableList<FeedStep>) {
        current?.let { previous ->
            if (needsAnother(nowMillis)) failures.getOrPut(previous) { StreamFailure(nowMillis, nowMillis) }
            closeStream(previous, steps)
        }
        current = instance
        visited += instance
        steps += FeedStep.Follow(instance)
    }

    private fun continueSearch(nowMillis: Long, steps: MutableList<FeedStep>) {
        closer?.let(visited::remove)
        closer = null
        val headStartMillis = if (current == null) FIRST_HEAD_START_MILLIS else HEAD_START_MILLIS
        val startedMillis = searchStartedMillis ?: nowMillis
        searchStartedMillis = startedMillis
        val isHeadStartOver = nowMillis - startedMillis >= headStartMillis
        if (isHeadStartOver) closeSilentStreams(nowMillis, steps)
        val trials = streams.filterKeys { it != current }.values
        val count = when {
            isHeadStartOver || trials.any { it.lastUpdateMillis != null } -> MAX_TRIALS - trials.size
            trials.isEmpty() -> 1
            else -> 0
        }
        candidates(nowMillis).take(count).forEach { openStream(it, nowMillis, steps) }
    }

    private fun endSearch(nowMillis: Long, steps: MutableList<FeedStep>) {
        if (searchStartedMillis != null) {
            searchStartedMillis = null
            streams.keys.filter { it != current }.forEach { closeStream(it, steps) }
        }
        val tried = closer
        if (tried == null) {
            tryCloser(nowMillis, steps)
        } else if ((streams[tried]?.silentForMillis(nowMillis) ?: 0) >= SILENCE_MILLIS) {
            closer = null
            closeStream(tried, steps)
        }
    }

    /** Opens a stream of an instance that may be in this gateway's data centre if the followed one is in another. */
    private fun tryCloser(nowMillis: Long, steps: MutableList<FeedStep>) {
        if (dataCentres[current] == dataCentre) return
        val untried = inOrderOfChoice().filter { it !in visited && it !in streams }
        val selected = untried.firstOrNull { it !in dataCentres }
            ?: untried.firstOrNull { dataCentres[it] == dataCentre }
            ?: return
        visited += selected
        closer = selected
        openStream(selected, nowMillis, steps)
    }

    private fun closeSilentStreams(nowMillis: Long, steps: MutableList<FeedStep>) {
        streams.filterValues { it.silentForMillis(nowMillis) >= SILENCE_MILLIS }.keys.forEach { instance ->
            closeStream(instance, steps)
            failures[instance] = StreamFailure(nowMillis, nowMillis)
        }
    }

    private fun closeStream(instance: InstanceId, steps: MutableList<FeedStep>) {
        if (streams.remove(instance) != null) steps += FeedStep.Close(instance)
    }

    private fun openStream(instance: InstanceId, nowMillis: Long, steps: MutableList<FeedStep>) {
        streams[instance] = Stream(nowMillis)
        steps += FeedStep.Open(instance)
    }

    /** Returns the instances of which a stream can be opened, those first that are most likely to be preferred. */
    private fun candidates(nowMillis: Long): List<InstanceId> = inOrderOfChoice()
        .filter { it !in streams && nowMillis >= (failures[it]?.retryMillis ?: NEVER_MILLIS) }
        .sortedWith(compareBy({ failures[it]?.failedMillis ?: NEVER_MILLIS }, ::distance))

    private fun distance(instance: InstanceId): Int = when (dataCentres[instance]) {
        dataCentre -> 0
        null -> 1
        else -> 2
    }

    private fun inOrderOfChoice(): List<InstanceId> {
        val known = (seeds + members).distinct()
        if (known.isEmpty()) return known
        val first = firstChoice % known.size
        return known.drop(first) + known.take(first)
    }

    companion object {
        private const val NEVER_MILLIS = Long.MIN_VALUE / 2

        /** Two heartbeats of a control instance plus the time for transmission. */
        private const val MAX_FRESH_AGE_MILLIS = 1_000L

        /** One heartbeat of a control instance is missing. */
        private const val SUSPICIOUS_SILENCE_MILLIS = 700L

        /** The time after which a stream without an update is replaced by a new one. */
        private const val SILENCE_MILLIS = 1_000L

        /** The time after which a stream that has ended is replaced by a new one. */
        private const val RETRY_MILLIS = 500L

        /** How long a search waits for the first instance alone, so that a search seldom burdens all instances. */
        const val HEAD_START_MILLIS: Long = 100L

        /** The head start in a process that has just started and takes longer to open a connection. */
        private const val FIRST_HEAD_START_MILLIS = 400L

        /** The most streams besides that of the followed instance: the members of a cluster and as many seeds. */
        private const val MAX_TRIALS = 16
    }
}
