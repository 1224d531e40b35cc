package marigoldward.core.dispatch

/**
 * The load that an upstream reports with an answer: running requests, waiting requests, and the slots for running ones.
 *
 * @property workPercent how long work takes at the moment, in percent of the normal time; null if not reported
 */
public data class ReportedLoad(val running: Int, val waiting: Int, val slots: Int, val workPercent: Int? = null) {
    /** Whether an upstream may have as many requests: from 0 to a million each. Sums of them can't overflow. */
    internal val isPlausible: Boolean get() = running in PLAUSIBLE_REQUESTS && waiting in PLAUSIBLE_REQUESTS

    private companion object {
        val PLAUSIBLE_REQUESTS = 0..1_000_000
    }
}
