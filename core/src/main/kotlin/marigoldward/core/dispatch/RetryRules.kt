package marigoldward.core.dispatch

import marigoldward.core.routes.Route

/** Whether a request whose attempt failed is sent to another upstream. */
public object RetryRules {
    private const val MAX_UNREACHABLE = 6
    private const val MAX_REFUSALS = 3

    /** The least time in which another upstream can answer, in milliseconds. */
    private const val MIN_LEFT_MILLIS = 20L

    /** What follows. */
    public enum class Next {
        /** It is sent again; nobody counts the attempt that failed. */
        SEND_AGAIN,

        /** It is sent again if the budget for repeats allows it. */
        SEND_AGAIN_FROM_BUDGET,

        /** It is not sent again. */
        GIVE_UP,
    }

    /**
     * Returns what follows the attempt that ended as [end], which [history] includes.
     *
     * An attempt that an upstream may have run counts against the route's attempts; one that certainly did not run
     * does not, but an upstream was asked, so it is paid from the budget.
     */
    public fun next(route: Route, history: AttemptHistory, end: AttemptEnd, leftMillis: Long): Next = when {
        leftMillis < MIN_LEFT_MILLIS -> Next.GIVE_UP
        history.mayHaveRun && !(route.isRepeatable && history.runs < route.maxAttempts) -> Next.GIVE_UP
        else -> when (end) {
            AttemptEnd.UNREACHABLE ->
                if (history.unreachable < MAX_UNREACHABLE) Next.SEND_AGAIN else Next.GIVE_UP
            AttemptEnd.NOT_RUN, AttemptEnd.MISDIRECTED ->
                if (history.refusals < MAX_REFUSALS) Next.SEND_AGAIN_FROM_BUDGET else Next.GIVE_UP
            AttemptEnd.FAILED, AttemptEnd.BROKEN, AttemptEnd.SILENT -> Next.SEND_AGAIN_FROM_BUDGET
            AttemptEnd.ANSWERED, AttemptEnd.CANCELLED -> Next.GIVE_UP
        }
    }
}
