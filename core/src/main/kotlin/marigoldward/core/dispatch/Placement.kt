package marigoldward.core.dispatch

/** The result of choosing upstreams for a request. */
public sealed interface Placement {
    /**
     * [upstream] serves the whole request and processes [prefillTokens] prompt tokens, fewer if it copies a cached
     * prefix from [cacheSource].
     */
    public data class Single(
        val upstream: ListedUpstream,
        val prefillTokens: Int,
        val cacheSource: ListedUpstream? = null,
    ) : Placement

    /**
     * [prefill] processes [prefillTokens] prompt tokens, fewer if it copies a cached prefix from [cacheSource];
     * [decode] receives the KV cache from it and generates.
     */
    public data class Split(
        val prefill: ListedUpstream,
        val decode: ListedUpstream,
        val prefillTokens: Int,
        val cacheSource: ListedUpstream? = null,
    ) : Placement

    /** No upstream can serve the request now. */
    public data class None(val reason: Reason) : Placement

    /** Why no upstream can serve a request. */
    public enum class Reason {
        /** The directory lists no upstream of the service that accepts new requests. */
        NO_UPSTREAM,

        /** All listed upstreams have failed recently or have been tried for this request. */
        NONE_USABLE,

        /** The first event is expected too late for the caller. */
        TOO_LATE,
    }
}
