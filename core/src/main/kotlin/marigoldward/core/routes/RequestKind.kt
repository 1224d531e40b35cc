package marigoldward.core.routes

/** How often a request of a route may run, and how it is answered. */
public enum class RequestKind {
    /** The request may run more than once. */
    IDEMPOTENT,

    /** The request runs at most once. */
    NON_IDEMPOTENT,

    /** The answer is a stream of events. The request runs at most once unless its route is resumable. */
    STREAM,
}
