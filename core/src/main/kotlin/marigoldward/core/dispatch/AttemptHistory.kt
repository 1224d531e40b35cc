package marigoldward.core.dispatch

/**
 * Counts of a request's attempts so far, by outcome.
 *
 * @property possibleRuns attempts that an upstream ran or may have run
 * @property refusals attempts that an upstream reported not to have run
 * @property connectionFailures attempts of which no byte was sent
 */
public data class AttemptHistory(val possibleRuns: Int, val refusals: Int, val connectionFailures: Int) {
    /** Whether an upstream may have run the request. */
    val mayHaveRun: Boolean get() = possibleRuns > 0

    /** Returns the history with another attempt, which ended as [end]. */
    public fun after(end: AttemptEnd): AttemptHistory = when (end) {
        AttemptEnd.NOT_RUN, AttemptEnd.MISDIRECTED -> copy(refusals = refusals + 1)
        AttemptEnd.UNREACHABLE -> copy(connectionFailures = connectionFailures + 1)
        AttemptEnd.ANSWERED, AttemptEnd.FAILED, AttemptEnd.BROKEN, AttemptEnd.SILENT, AttemptEnd.CANCELLED ->
            copy(possibleRuns = possibleRuns + 1)
    }

    /** Creates histories. */
    public companion object {
        /** The history of a request without attempts. */
        public val NONE: AttemptHistory = AttemptHistory(0, 0, 0)
    }
}
