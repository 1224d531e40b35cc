package marigoldward.core.dispatch

/** The outcome of an attempt, as evidence of the health of its upstream. */
public enum class AttemptEnd {
    /** The upstream answered completely. */
    ANSWERED,

    /** The upstream answered completely, with a status that reports a failure. */
    FAILED,

    /** The upstream reported that it did not run the request. */
    NOT_RUN,

    /** The address belongs to another upstream now. */
    MISDIRECTED,

    /** No connection could be opened. */
    UNREACHABLE,

    /** The connection was closed early, or the answer was malformed. */
    BROKEN,

    /** The upstream sent nothing in time. */
    SILENT,

    /** The caller left, or the gateway gave up for a reason unrelated to the upstream. */
    CANCELLED,
}
