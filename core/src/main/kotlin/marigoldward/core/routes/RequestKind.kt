package marigoldward.core.routes

/** What may be repeated of a request on a route. */
public enum class RequestKind {
    /** May run more than once. */
    IDEMPOTENT,

    /** Runs at most once. */
    NON_IDEMPOTENT,

    /** Answers with a stream of events; runs at most once unless its route is resumable. */
    STREAM,
}
