package marigoldward.gateway.upstream

import marigoldward.core.dispatch.ListedUpstream
import marigoldward.gateway.message.RequestHead

/**
 * One request to an upstream.
 *
 * @property expectedId the id that its answer bears
 * @property needsFreshConnection whether a connection that was idle for long is not good enough
 */
internal class UpstreamCall(
    val upstream: ListedUpstream,
    val head: RequestHead,
    val body: ByteArray,
    val expectedId: String?,
    val needsFreshConnection: Boolean,
    val listener: UpstreamListener,
) {
    private var connection: UpstreamConnection? = null

    /** Whether nobody waits for the answer any more. */
    var isCancelled: Boolean = false
        private set

    /** Ends the call; the upstream sees its connection close. */
    fun cancel() {
        isCancelled = true
        connection?.close()
    }

    internal fun carriedBy(connection: UpstreamConnection) {
        this.connection = connection
    }
}
