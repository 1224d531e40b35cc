package marigoldward.entry.caller

import marigoldward.support.http.PartsInputStream

/**
 * The body of a streamed answer. Each read waits for the next part; closing it before the end cancels the rest.
 *
 * An answer that breaks off ends with an error event and never with the normal end.
 */
internal class AnswerStream(
    private val session: CompletionSession,
    first: CompletionSession.Part,
    private val format: AnswerFormat,
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
        return toText(part).toByteArray()
    }

    private fun toText(part: CompletionSession.Part): String = when (part) {
        is CompletionSession.Part.Token -> format.token(part)
        CompletionSession.Part.End -> format.end()
        is CompletionSession.Part.Refused -> Outcomes.streamError(part.refuse)
        is CompletionSession.Part.Rejected -> "event: error\ndata: ${part.body.replace("\n", " ")}\n\n"
    }
}
