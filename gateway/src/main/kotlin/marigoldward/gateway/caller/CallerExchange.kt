package marigoldward.gateway.caller

import marigoldward.gateway.message.AnswerHead

/** One request of a caller and its answer. Used by the loop's thread only. */
internal interface CallerExchange {
    val request: CallerRequest

    /** Called once if the caller leaves before the answer has ended. */
    var onGone: () -> Unit

    /** Sends a whole answer. */
    fun answer(head: AnswerHead, body: ByteArray)

    /** Begins an answer whose length is not known. */
    fun begin(head: AnswerHead)

    /** Sends a part of the answer's body. */
    fun send(data: ByteArray)

    /** Ends the answer. */
    fun end()

    /** Closes the connection, so that the answer does not look whole. */
    fun breakOff()
}
