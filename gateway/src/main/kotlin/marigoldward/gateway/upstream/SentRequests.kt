package marigoldward.gateway.upstream

import marigoldward.gateway.Dialect
import marigoldward.gateway.message.ResponseHead

/**
 * The requests that one connection has carried, which tell which of them a response answers. Confined to the event loop
 * thread.
 *
 * Only the request id tells the response to one request from a late response to an earlier one. Without an id only the
 * response to the first request on a connection is certain.
 */
internal class SentRequests(private val dialect: Dialect) {
    /** Whether a request was a `HEAD` request, by its id, in the order in which the requests were sent. */
    private val isHeadById = LinkedHashMap<String, Boolean>()
    private var requestCount = 0
    private var currentId: String? = null
    private var isCurrentHead = false

    /** Whether a `HEAD` request was sent. */
    var hasHeadRequest: Boolean = false
        private set

    /** Whether no request was sent so far. */
    val isEmpty: Boolean get() = requestCount == 0

    /** Whether a request with the id of [call] was sent before. */
    fun hasIdOf(call: UpstreamCall): Boolean = call.expectedRequestId in isHeadById

    /** Records that the request of [call] is sent now. */
    fun add(call: UpstreamCall) {
        requestCount++
        currentId = call.expectedRequestId
        isCurrentHead = call.head.method == "HEAD"
        hasHeadRequest = hasHeadRequest || isCurrentHead
        val requestId = call.expectedRequestId ?: return
        isHeadById[requestId] = isCurrentHead
        if (isHeadById.size > MAX_REMEMBERED_IDS) isHeadById.remove(isHeadById.keys.first())
    }

    /** Returns the request that a response with [head] answers. */
    fun requestAnsweredBy(head: ResponseHead): AnsweredRequest {
        val requestId = requestIdOf(head)
        val hasPrecedingRequest = requestCount > 1
        return when {
            requestId == null && currentId != null && hasPrecedingRequest -> AnsweredRequest.Unknown
            requestId == null || requestId == currentId -> AnsweredRequest.Current
            currentId == null && requestId !in isHeadById -> AnsweredRequest.Current
            else -> AnsweredRequest.Other(requestId, isHeadById[requestId] ?: false)
        }
    }

    /** Whether a response with [head] has no body because it answers a `HEAD` request. */
    fun isResponseToHead(head: ResponseHead): Boolean = when (val answered = requestAnsweredBy(head)) {
        is AnsweredRequest.Other -> answered.isHeadRequest
        AnsweredRequest.Current, AnsweredRequest.Unknown -> isCurrentHead
    }

    /** Whether [head] bears the id of the current request, so that later responses to it will be recognized. */
    fun isIdentified(head: ResponseHead): Boolean = currentId != null && requestIdOf(head) == currentId

    private fun requestIdOf(head: ResponseHead): String? =
        dialect.readResponse(head).requestId?.takeIf { it.isNotEmpty() }

    private companion object {
        /** A late response answers one of the last few requests; the limit bounds the memory of a connection. */
        const val MAX_REMEMBERED_IDS = 64
    }
}
