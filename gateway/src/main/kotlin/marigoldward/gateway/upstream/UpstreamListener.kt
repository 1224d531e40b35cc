package marigoldward.gateway.upstream

import marigoldward.gateway.message.AnswerHead

/** Told of what comes from an upstream. A call ends with [onEnd] or [onFailure], unless it is cancelled. */
internal interface UpstreamListener {
    fun onHead(head: AnswerHead)

    fun onData(data: ByteArray)

    fun onEnd()

    fun onFailure(failure: UpstreamFailure)
}
