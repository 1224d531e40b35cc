package marigoldward.core.dispatch

/**
 * What became of a request's attempts so far.
 *
 * @property runs attempts that an upstream ran or may have run
 * @property refusals attempts that an upstream said it did not run
 * @property unreachable attempts of which no byte was sent
 */
public data class AttemptHistory(val runs: Int, val refusals: Int, val unreachable: Int) {
    /** Whether an upstream may have run the request. */
    val mayHaveRun: Boolean get() = runs > 0

    /** Returns the history after an attempt that ended as [end]. */
    public fun after(end: AttemptEnd): AttemptHistory = when (end) {
        AttemptEnd.NOT_RUN, AttemptEnd.MISDIRECTED -> copy(refusals = refusals + 1)
        AttemptEnd.UNREACHABLE -> copy(unreachable = unreachable + 1)
        AttemptEnd.ANSWERED, AttemptEnd.FAILED, AttemptEnd.BROKEN, AttemptEnd.SILENT, AttemptEnd.CANCELLED ->
            copy(runs = runs + 1)
    }

    /** Creates histories. */
    public companion object {
        /** The history of a request that has just come. */
        public val NONE: AttemptHistory = AttemptHistory(0, 0, 0)
    }
}
