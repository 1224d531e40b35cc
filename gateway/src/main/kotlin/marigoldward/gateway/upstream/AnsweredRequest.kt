package marigoldward.gateway.upstream

/** The request that a response on a connection answers. */
internal sealed interface AnsweredRequest {
    /** The current request. */
    data object Current : AnsweredRequest

    /**
     * Another request.
     *
     * @property isHeadRequest whether that is known to have been a `HEAD` request
     */
    data class Other(val requestId: String, val isHeadRequest: Boolean) : AnsweredRequest

    /** The current request or one before it, as the response bears no request id. */
    data object Unknown : AnsweredRequest
}
