package marigoldward.core.serving

/**
 * The reason why a request was refused.
 *
 * It does not tell whether the request may have run; see [ServingAction.Refuse.mayHaveRun].
 */
public sealed interface Refusal {
    /** The name of the reason in answers, logs and metrics. */
    public val label: String

    /** After how many milliseconds a new try makes sense, or null if it never does. */
    public val retryAfterMillis: Long?

    /** The queue of the request's class is full. */
    public data class QueueFull(override val retryAfterMillis: Long) : Refusal {
        override val label: String get() = "queue_full"
    }

    /** Requests of the same caller already fill its share of the queue. */
    public data class CallerOverShare(override val retryAfterMillis: Long) : Refusal {
        override val label: String get() = "caller_over_share"
    }

    /** The request was refused on arrival, since it would not be served in time. */
    public data class TooLate(override val retryAfterMillis: Long) : Refusal {
        override val label: String get() = "too_late"
    }

    /** The request waited for as long as its class allows, or its deadline passed. */
    public data class Expired(override val retryAfterMillis: Long) : Refusal {
        override val label: String get() = "expired"
    }

    /** The pool is unknown or has no upstreams. */
    public data class NoUpstream(override val retryAfterMillis: Long) : Refusal {
        override val label: String get() = "no_upstream"
    }

    /** Recent failures have used up the retry budget of the class. */
    public data class RetryBudgetSpent(override val retryAfterMillis: Long) : Refusal {
        override val label: String get() = "retry_budget_spent"
    }

    /** Requests with this fingerprint have crashed the upstreams that ran them. */
    public data object Quarantined : Refusal {
        override val label: String get() = "quarantined"
        override val retryAfterMillis: Long? get() = null
    }

    /** The request needs more KV cache than an engine of the pool has. */
    public data class TooLarge(val kvTokens: Long, val capacityTokens: Long) : Refusal {
        override val label: String get() = "too_large"
        override val retryAfterMillis: Long? get() = null
    }

    /** This process is shutting down. */
    public data object ShuttingDown : Refusal {
        override val label: String get() = "shutting_down"
        override val retryAfterMillis: Long get() = 0
    }

    /** The upstream failed, and the request may not be retried: it may have run, or it has had its last attempt. */
    public data object UpstreamFailed : Refusal {
        override val label: String get() = "upstream_failed"
        override val retryAfterMillis: Long? get() = null
    }
}
