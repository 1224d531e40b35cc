package marigoldward.gateway.upstream

import marigoldward.gateway.message.ResponseHead

/**
 * Receives an upstream's response to a call. The last callback is [onEnd] or [onFailure]; a cancelled call gets no
 * further callbacks.
 */
internal interface UpstreamListener {
    fun onHead(head: ResponseHead)

    fun onData(data: ByteArray)

    fun onEnd()

    fun onFailure(failure: UpstreamFailure)
}
