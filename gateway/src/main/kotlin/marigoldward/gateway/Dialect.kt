package marigoldward.gateway

import marigoldward.core.Outcome
import marigoldward.core.dispatch.Prompt
import marigoldward.core.dispatch.ReportedLoad
import marigoldward.core.model.UpstreamId
import marigoldward.core.routes.Route
import marigoldward.gateway.message.AnswerHead
import marigoldward.gateway.message.Headers
import marigoldward.gateway.message.RequestHead

/** What callers and upstreams call things in their messages. */
public interface Dialect {
    /** Reads what a caller says of its request. */
    public fun readRequest(head: RequestHead): RequestFacts

    /** Returns the head with which [head] is sent to an upstream; what is the system's to say is taken from [order]. */
    public fun forwarded(head: RequestHead, order: ForwardOrder): RequestHead

    /** Reads what an upstream says with its answer. */
    public fun readAnswer(head: AnswerHead): AnswerFacts

    /** Reads the answer to a request whose prompt was only to be read; the failure says what is wrong with it. */
    public fun readHandle(body: ByteArray): Outcome<String, String>

    /** Returns the request that frees a KV cache that nobody will take. */
    public fun released(handle: String): RequestHead

    /** Returns for how long callers wait for the first event of a stream on [route], in milliseconds. */
    public fun patienceMillis(route: Route): Long

    /** Returns the headers that an answer of this system's own to the request [requestId] has. */
    public fun ownHeaders(requestId: String?): Headers

    /**
     * What a caller says of its request.
     *
     * @property requestId the caller's id of it, or null
     * @property deadlineMillis how long the caller waits from when it sent it, in milliseconds, or null
     * @property prompt the prompt's parts, or null if it names none
     * @property resumesAfter the event after which a stream goes on, or null
     */
    public data class RequestFacts(
        val requestId: String?,
        val deadlineMillis: Long?,
        val prompt: Prompt?,
        val resumesAfter: String?,
    )

    /**
     * What the system says of a request to an upstream.
     *
     * @property upstream the only upstream that may run it
     * @property leftMillis the time that is left for it, in milliseconds
     * @property priority its rank; 0 is the most urgent
     * @property step what is wanted of the upstream
     * @property resumeAfter the event after which the stream goes on, or null for the caller's own word
     * @property copyFrom the address of an upstream whose KV cache is to be copied first, or null
     */
    public data class ForwardOrder(
        val upstream: UpstreamId,
        val leftMillis: Long,
        val priority: Int,
        val step: Step,
        val resumeAfter: String?,
        val copyFrom: String? = null,
    )

    /** What is wanted of an upstream. */
    public sealed interface Step {
        /** All of it. */
        public data object Whole : Step

        /** Only the prompt is to be read. */
        public data object Prefill : Step

        /** The prompt was read at [address], which keeps its KV cache as [handle]. */
        public data class Decode(val address: String, val handle: String) : Step
    }

    /**
     * What an upstream says with its answer.
     *
     * @property requestId the request that it answers, or null if it does not say
     * @property isSigned whether it bears the upstream's own signature
     * @property isNotRun whether it says that the request was not run
     * @property isMisdirected whether the request was meant for another upstream or another step
     * @property answeredBy the upstream that answers, or null if it does not say
     * @property isEncoded whether the body is not the upstream's own bytes
     * @property load the upstream's load, or null
     */
    public data class AnswerFacts(
        val requestId: String?,
        val isSigned: Boolean,
        val isNotRun: Boolean,
        val isMisdirected: Boolean,
        val answeredBy: String?,
        val isEncoded: Boolean,
        val load: ReportedLoad?,
    )
}
