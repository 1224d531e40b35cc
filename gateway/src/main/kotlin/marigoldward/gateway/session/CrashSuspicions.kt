package marigoldward.gateway.session

import marigoldward.core.control.Fingerprint
import marigoldward.core.control.LostRequest
import marigoldward.core.model.UpstreamId
import marigoldward.wire.feed.CrashCounts
import marigoldward.wire.feed.CrashReport

/**
 * What a gateway knows of the requests that crash upstreams, and what it has yet to report of them.
 *
 * Control instances merge the reports of all gateways and send the number of crashes under each fingerprint back. A
 * fingerprint that was answered completely is reported too, which clears it: an answer that began after the crashes
 * were known here, or a recent one to a request with the same part.
 *
 * Has no clock, thread or network connection of its own and is not thread-safe.
 */
internal class CrashSuspicions {
    private data class CrashedStart(val upstream: UpstreamId, val startedUnixMillis: Long?)

    private var version = -1L
    private var crashCounts: Map<Fingerprint, CrashCounts.Entry> = emptyMap()
    private val lastAnsweredMillis = object : LinkedHashMap<Fingerprint, Long>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: Map.Entry<Fingerprint, Long>): Boolean = size > MAX_ANSWERED_PARTS
    }
    private val pendingCrashes = LinkedHashMap<CrashedStart, MutableSet<LostRequest>>()
    private val pendingAnswered = LinkedHashSet<Fingerprint>()

    /** Called when there is something to report. */
    var onReportDue: () -> Unit = {}

    /** Whether no request is under suspicion. */
    val isEmpty: Boolean get() = crashCounts.isEmpty()

    /** Returns the first of a request's [fingerprints] for which the request is quarantined, or null. */
    fun quarantinedOrNull(fingerprints: List<Fingerprint>): Fingerprint? = fingerprints.firstOrNull { fingerprint ->
        val quarantined = crashCounts[fingerprint]?.quarantined
        quarantined != null && fingerprints.containsAll(quarantined.fingerprints)
    }

    /** Returns those of [fingerprints] that are under suspicion. */
    fun suspectsAmong(fingerprints: List<Fingerprint>): List<Fingerprint> = fingerprints.filter { it in crashCounts }

    /** Whether an upstream has crashed under one of [fingerprints], and no request with it was answered recently. */
    fun isUnclearedSuspect(fingerprints: List<Fingerprint>, nowMillis: Long): Boolean =
        fingerprints.any { it in crashCounts && !isRecentlyAnswered(it, nowMillis) }

    /** Returns the known crashes under those of [fingerprints] that are under suspicion. */
    fun knownCrashes(fingerprints: List<Fingerprint>): Map<Fingerprint, Int> =
        fingerprints.mapNotNull { fingerprint -> crashCounts[fingerprint]?.let { fingerprint to it.crashes } }.toMap()

    /**
     * Records that [upstream], which had started at [startedUnixMillis] if that is known, crashed while it was answering a
     * request with [fingerprints], which was sent when the crashes [knownWhenSent] were known.
     */
    fun recordCrash(
        upstream: UpstreamId,
        fingerprints: List<Fingerprint>,
        knownWhenSent: Map<Fingerprint, Int>,
        startedUnixMillis: Long? = null,
    ) {
        val crashed = CrashedStart(upstream, startedUnixMillis)
        val requests = pendingCrashes.getOrPut(crashed) { LinkedHashSet() }
        val suspects = fingerprints.map { fingerprint ->
            val knownCrashes = crashCounts[fingerprint]?.crashes ?: 0
            LostRequest.Suspect(fingerprint, knownCrashes, knownWhenSent[fingerprint] ?: 0)
        }
        val lost = LostRequest(suspects)
        if (requests.size < MAX_REQUESTS_PER_CRASH) requests.add(lost)
        if (pendingCrashes.size > MAX_PENDING_CRASHES) pendingCrashes.remove(pendingCrashes.keys.first())
        onReportDue()
    }

    /**
     * Records that a request whose prompt shares [parts] with others was answered completely; its fingerprints of
     * [suspects] were under suspicion when the upstream began to answer.
     */
    fun recordAnswered(parts: List<Fingerprint>, suspects: List<Fingerprint>, nowMillis: Long) {
        parts.forEach { lastAnsweredMillis[it] = nowMillis }
        val cleared = suspects.filter { it in crashCounts }
        if (cleared.isEmpty()) return
        pendingAnswered.addAll(cleared)
        onReportDue()
    }

    /** Replaces the crash counts by [update], unless that is older. */
    fun update(update: CrashCounts, nowMillis: Long) {
        if (update.version <= version) return
        version = update.version
        crashCounts = update.counts.associateBy { it.fingerprint }
        val recentlyAnswered = crashCounts.keys.filter { isRecentlyAnswered(it, nowMillis) }
        if (recentlyAnswered.isEmpty()) return
        pendingAnswered.addAll(recentlyAnswered)
        onReportDue()
    }

    /** Returns what is to be reported and forgets it, or returns null if there is nothing. */
    fun takeReportOrNull(): CrashReport? {
        if (pendingCrashes.isEmpty() && pendingAnswered.isEmpty()) return null
        val crashes = pendingCrashes.map { (crashed, lost) ->
            CrashReport.UpstreamCrash(crashed.upstream, lost.toList(), crashed.startedUnixMillis)
        }
        val report = CrashReport(crashes, pendingAnswered.toList())
        pendingCrashes.clear()
        pendingAnswered.clear()
        return report
    }

    /** Takes back [report], which could not be delivered. */
    fun restore(report: CrashReport) {
        report.crashes.forEach { crash ->
            val crashed = CrashedStart(crash.upstream, crash.startedUnixMillis)
            pendingCrashes.getOrPut(crashed) { LinkedHashSet() }.addAll(crash.requests)
        }
        pendingAnswered.addAll(report.answered.filter { it in crashCounts })
    }

    private fun isRecentlyAnswered(fingerprint: Fingerprint, nowMillis: Long): Boolean {
        val answeredMillis = lastAnsweredMillis[fingerprint] ?: return false
        return nowMillis - answeredMillis < MAX_ANSWER_AGE_MILLIS
    }

    private companion object {
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
        const val MAX_ANSWERED_PARTS = 4_096
        const val MAX_PENDING_CRASHES = 64
        const val MAX_REQUESTS_PER_CRASH = 64

        /**
         * How long an answer clears the parts of its prompt. A part that starts to crash engines later, as with new
         * software on them, is recognized after this time.
         */
        const val MAX_ANSWER_AGE_MILLIS = 30_000L
    }
}
