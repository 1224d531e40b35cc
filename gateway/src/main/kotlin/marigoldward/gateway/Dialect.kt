package marigoldward.gateway

import marigoldward.core.Outcome
import marigoldward.core.dispatch.Prompt
import marigoldward.core.dispatch.ReportedLoad
import marigoldward.core.model.UpstreamId
import marigoldward.core.routes.Route
import marigoldward.core.workspaces.WorkspaceName
import marigoldward.gateway.message.Headers
import marigoldward.gateway.message.RequestHead
import marigoldward.gateway.message.ResponseHead

/** Maps the headers and bodies of callers and upstreams to the values that the gateway works with. */
public interface Dialect {
    /** Reads the metadata of a request from a caller. */
    public fun readRequest(head: RequestHead): RequestMetadata

    /** Returns the head to send to an upstream for a request with [head]; [options] gives the values to set. */
    public fun forwardedRequest(head: RequestHead, options: ForwardOptions): RequestHead

    /** Reads the metadata of a response from an upstream. */
    public fun readResponse(head: ResponseHead): ResponseMetadata

    /** Reads the handle of the KV cache from the response to [Step.Prefill]; the failure is an error message. */
    public fun readCacheHandle(body: ByteArray): Outcome<String, String>

    /** Returns the request that frees the KV cache [handle], which will not be fetched. */
    public fun cacheReleaseRequest(handle: String): RequestHead

    /** Returns how long callers wait for the first event of a stream on [route], in milliseconds. */
    public fun firstEventTimeoutMillis(route: Route): Long

    /** Returns the headers of a response made by the gateway itself; [requestId] is null if the request has no id. */
    public fun gatewayResponseHeaders(requestId: String?): Headers

    /**
     * The metadata of a request from a caller.
     *
     * @property requestId the id that the caller gave the request, or null if none
     * @property deadlineMillis how long the caller waits after sending the request, in milliseconds, or null if it does
     *   not say
     * @property prompt the description of the prompt, or null if the request has none
     * @property lastEventId the id of the event after which the stream is to resume, or null to start at the beginning
     * @property apiKey the key of the caller's workspace, or null unless there is exactly one; not to be logged
     */
    public data class RequestMetadata(
        val requestId: String?,
        val deadlineMillis: Long?,
        val prompt: Prompt?,
        val lastEventId: String?,
        val apiKey: String? = null,
    ) {
        /** Returns the metadata without the key. */
        override fun toString(): String =
            "RequestMetadata(requestId=$requestId, deadlineMillis=$deadlineMillis, prompt=$prompt, lastEventId=$lastEventId)"
    }

    /**
     * The values that the gateway sets on a request to an upstream.
     *
     * @property upstream the only upstream that may run the request
     * @property remainingMillis the time that is left for the request, in milliseconds
     * @property priority the priority of the request; 0 is the most urgent
     * @property step the part of the request that the upstream serves
     * @property resumeAfterEventId the id of the event after which the stream is to resume, or null to keep what the
     *   caller asked for
     * @property cacheSourceAddress the address of an engine from which a cached prefix is to be copied first, or null
     * @property identity what the upstream is told of the caller's workspace
     */
    public data class ForwardOptions(
        val upstream: UpstreamId,
        val remainingMillis: Long,
        val priority: Int,
        val step: Step,
        val resumeAfterEventId: String?,
        val cacheSourceAddress: String? = null,
        val identity: Identity = Identity.AsReceived,
    )

    /** What an upstream is told of the workspace of a caller. */
    public sealed interface Identity {
        /** What the caller has sent: the configuration has no workspaces. */
        public data object AsReceived : Identity

        /** Nothing, whatever the caller has sent: its route needs no key. */
        public data object Anonymous : Identity

        /** That the caller belongs to [workspace]. */
        public data class Known(val workspace: WorkspaceName) : Identity
    }

    /** The part of a request that an upstream serves. */
    public sealed interface Step {
        /** The whole request. */
        public data object Whole : Step

        /** Only the prefill: the upstream processes the prompt and returns a handle of its KV cache. */
        public data object Prefill : Step

        /** Only the decode: the upstream fetches the KV cache [handle] from the engine at [address], and generates. */
        public data class Decode(val address: String, val handle: String) : Step
    }

    /**
     * The metadata of a response from an upstream.
     *
     * @property requestId the id of the request that it answers, or null if it bears none
     * @property isSigned whether the response bears the upstream's signature
     * @property isNotRun whether the upstream reports that it did not run the request
     * @property isMisdirected whether the upstream rejected the request as meant for another upstream or another stage
     * @property answeredBy the id of the upstream that sent the response, or null if it bears none
     * @property isContentEncoded whether the body has a content encoding, and so is not the upstream's own bytes
     * @property load the load that the upstream reports, or null if it reports none
     * @property refusesForMillis how long the upstream asks for no further requests, in milliseconds, or null if it does
     *   not
     * @property isLeaving whether the upstream announces that it is leaving and wants no further requests at all
     */
    public data class ResponseMetadata(
        val requestId: String?,
        val isSigned: Boolean,
        val isNotRun: Boolean,
        val isMisdirected: Boolean,
        val answeredBy: String?,
        val isContentEncoded: Boolean,
        val load: ReportedLoad?,
        val refusesForMillis: Long? = null,
        val isLeaving: Boolean = false,
    )
}
