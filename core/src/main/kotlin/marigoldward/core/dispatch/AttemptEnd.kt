package marigoldward.core.dispatch

/** How an attempt at an upstream ended, as far as it says something of the upstream. */
public enum class AttemptEnd {
    /** It gave a whole answer. */
    ANSWERED,

    /** It gave a whole answer that says that it failed. */
    FAILED,

    /** It said that it did not run the request. */
    NOT_RUN,

    /** Another upstream has its address now. */
    MISDIRECTED,

    /** No connection could be opened. */
    UNREACHABLE,

    /** The connection broke, or what came was no answer. */
    BROKEN,

    /** Nothing came in time. */
    SILENT,

    /** The caller left, or this side gave up for a reason that is not the upstream's. */
    CANCELLED,
}
