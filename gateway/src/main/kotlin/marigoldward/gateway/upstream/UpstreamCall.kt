package marigoldward.gateway.upstream

import marigoldward.core.dispatch.ListedUpstream
import marigoldward.gateway.message.RequestHead

/**
 * One request to an upstream.
 *
 * @property expectedRequestId the request id that the response must bear, or null for any
 * @property reuse which of the open connections may carry the request
 */
internal class UpstreamCall(
    val upstream: ListedUpstream,
    val head: RequestHead,
    val body: ByteArray,
    val expectedRequestId: String?,
    val reuse: ConnectionReuse,
    val listener: UpstreamListener,
) {
    /** Which open connections may carry a request; others leave it to a new one. */
    enum class ConnectionReuse {
        /** Any that is usable. */
        ANY,

        /** Only recently used ones, because the request must not be sent twice. */
        RECENTLY_USED,

        /** None, so that the upstream is known to run when the request is sent. */
        NONE,
    }

    /** The connection that carries the call, or null before it is sent and after it has ended. */
    private var connection: UpstreamConnection? = null

    /** Whether [cancel] was called. */
    var isCancelled: Boolean = false
        private set

    /**
     * Ends the call without a call to [listener] and closes its connection, which the upstream notices. Has no effect
     * after the end of the call, when its connection may carry another one.
     */
    fun cancel() {
        isCancelled = true
        connection?.cancel(this)
    }

    /** Reads no more of the response until [resumeReading]. Has no effect after the end of the call. */
    fun pauseReading() {
        connection?.setReading(this, isReading = false)
    }

    /** Reads on after [pauseReading]. Has no effect after the end of the call. */
    fun resumeReading() {
        connection?.setReading(this, isReading = true)
    }

    internal fun attachTo(connection: UpstreamConnection) {
        this.connection = connection
    }

    internal fun detach() {
        connection = null
    }
}
