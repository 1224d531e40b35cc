package marigoldward.core.dispatch

import marigoldward.core.routes.Route

/** Decides whether a request is sent to another upstream after a failed attempt. */
public object RetryRules {
    private const val MAX_CONNECTION_FAILURES = 6
    private const val MAX_REFUSALS = 3

    /** The shortest time in which another upstream can answer. */
    private const val MIN_REMAINING_MILLIS = 20L

    /** The decision after a failed attempt. */
    public enum class Decision {
        /** Send the request again, without charge to the retry budget. */
        SEND_AGAIN,

        /** Send the request again if the retry budget allows it. */
        SEND_AGAIN_FROM_BUDGET,

        /** Do not send the request again. */
        GIVE_UP,
    }

    /**
     * Returns the decision after an attempt that ended as [end]; [history] includes it.
     *
     * An attempt that an upstream may have run counts against the maximum attempts of the route. One that certainly did
     * not run does not, but if an upstream was asked, it is charged to the retry budget.
     */
    public fun decide(route: Route, history: AttemptHistory, end: AttemptEnd, remainingMillis: Long): Decision = when {
        remainingMillis < MIN_REMAINING_MILLIS -> Decision.GIVE_UP
        history.mayHaveRun && !(route.isRepeatable && history.possibleRuns < route.maxAttempts) -> Decision.GIVE_UP
        else -> when (end) {
            AttemptEnd.UNREACHABLE ->
                if (history.connectionFailures < MAX_CONNECTION_FAILURES) Decision.SEND_AGAIN else Decision.GIVE_UP
            AttemptEnd.NOT_RUN, AttemptEnd.MISDIRECTED ->
                if (history.refusals < MAX_REFUSALS) Decision.SEND_AGAIN_FROM_BUDGET else Decision.GIVE_UP
            AttemptEnd.FAILED, AttemptEnd.BROKEN, AttemptEnd.SILENT -> Decision.SEND_AGAIN_FROM_BUDGET
            AttemptEnd.ANSWERED, AttemptEnd.CANCELLED -> Decision.GIVE_UP
        }
    }
}
