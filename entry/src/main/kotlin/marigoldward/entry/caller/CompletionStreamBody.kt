package marigoldward.entry.caller

import marigoldward.support.http.PartsInputStream

/**
 * The response body of a streamed completion.
 *
 * A read waits for the next part of the answer. An answer that is not complete ends with an error event instead of the
 * normal end event, so that the caller can tell. Closing the body cancels an answer that has not ended.
 */
internal class CompletionStreamBody(
    private val session: CompletionSession,
    first: CompletionSession.Part,
    private val eventFormat: CompletionEventFormat,
) : PartsInputStream() {
    private var next: CompletionSession.Part? = first
    private var isEnded = false

    override fun close() {
        session.close()
    }

    override fun nextPartOrNull(): ByteArray? {
        if (isEnded) return null
        val part = next ?: session.next()
        next = null
        isEnded = part !is CompletionSession.Part.Token
        return toEvent(part).toByteArray()
    }

    private fun toEvent(part: CompletionSession.Part): String = when (part) {
        is CompletionSession.Part.Token -> eventFormat.tokenEvent(part)
        CompletionSession.Part.End -> eventFormat.endEvent()
        is CompletionSession.Part.Refused -> ErrorResponses.streamErrorEvent(part.refuse)
        is CompletionSession.Part.Rejected -> "event: error\ndata: ${part.body.replace("\n", " ")}\n\n"
    }
}
