package marigoldward.core.dispatch

/** Where a request goes. */
public sealed interface Placement {
    /** [upstream] does it all; it reads [tokensToRead] tokens, fewer if [copyFrom] keeps some of them. */
    public data class Whole(val upstream: ListedUpstream, val tokensToRead: Int, val copyFrom: ListedUpstream? = null) :
        Placement

    /**
     * [prefill] reads [tokensToRead] tokens of the prompt, fewer if [copyFrom] keeps some of them; [decode] takes the
     * KV cache from it and generates.
     */
    public data class Split(
        val prefill: ListedUpstream,
        val decode: ListedUpstream,
        val tokensToRead: Int,
        val copyFrom: ListedUpstream? = null,
    ) : Placement

    /** Nothing can take it now. */
    public data class None(val reason: Reason) : Placement

    /** Why nothing can take a request. */
    public enum class Reason {
        /** The directory lists no upstream of the service that takes work. */
        NO_UPSTREAM,

        /** All that are listed failed lately or were tried already. */
        NONE_USABLE,

        /** The first event would come too late for the caller. */
        TOO_LATE,
    }
}
