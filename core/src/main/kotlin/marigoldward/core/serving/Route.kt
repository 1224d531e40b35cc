package marigoldward.core.serving

import marigoldward.core.model.UpstreamId

/** The upstream or upstreams that carry out an attempt. */
public sealed interface Route {
    /** The upstream that sends the answer to this process. */
    public val answeringUpstream: UpstreamId

    /** One [upstream] carries out the whole request. */
    public data class Single(val upstream: UpstreamId) : Route {
        override val answeringUpstream: UpstreamId get() = upstream
    }

    /** The engine [prefill] computes the KV cache of the prompt; [decode] imports it and generates the answer. */
    public data class Split(val prefill: UpstreamId, val decode: UpstreamId) : Route {
        override val answeringUpstream: UpstreamId get() = decode
    }
}
