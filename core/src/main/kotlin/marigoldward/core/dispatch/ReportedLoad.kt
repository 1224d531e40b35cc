package marigoldward.core.dispatch

/**
 * The load that an upstream reports with an answer: running requests, waiting requests, and the slots for running ones.
 */
public data class ReportedLoad(val running: Int, val waiting: Int, val slots: Int) {
    /** Whether an upstream may have as many requests: from 0 to a million each. Sums of them can't overflow. */
    internal val isPlausible: Boolean get() = running in PLAUSIBLE_REQUESTS && waiting in PLAUSIBLE_REQUESTS

    private companion object {
        val PLAUSIBLE_REQUESTS = 0..1_000_000
    }
}
