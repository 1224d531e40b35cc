package marigoldward.gateway.caller

import marigoldward.gateway.message.ResponseHead

/** One request of a caller and its response. Confined to the event loop thread. Calls after the end have no effect. */
internal interface CallerExchange {
    val request: CallerRequest

    /** Called once if the caller closes the connection before the response has ended. */
    var onCallerGone: () -> Unit

    /** Whether the caller takes what is sent; if not, it piles up in memory. */
    val isWritable: Boolean

    /** Called each time when [isWritable] becomes `true` again. */
    var onWritable: () -> Unit

    /** Sends a complete response. */
    fun respond(head: ResponseHead, body: ByteArray)

    /** Begins a response of unknown length, to be continued with [sendPart] and [endResponse]. */
    fun beginResponse(head: ResponseHead)

    /** Sends a part of the body. */
    fun sendPart(data: ByteArray)

    /** Ends a response that was begun with [beginResponse]. */
    fun endResponse()

    /** Closes the connection without ending the response, so that the caller sees that it is incomplete. */
    fun abort()
}
