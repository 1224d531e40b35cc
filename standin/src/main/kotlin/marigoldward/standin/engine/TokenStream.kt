package marigoldward.standin.engine

import marigoldward.standin.AnswerText
import marigoldward.support.http.PartsInputStream

/** The body of a streamed answer: each read waits for the engine's next token. Closing it cancels the rest. */
internal class TokenStream(
    private val request: CompletionRequest,
    private val requestId: String,
    private val source: TokenSource,
) : PartsInputStream() {
    /** Where tokens come from in time. */
    interface TokenSource : AutoCloseable {
        /** Waits until the next token is there. */
        fun awaitToken()

        /** The faults that change what is sent. */
        val faults: AnswerFaults

        /** Called once the answer was sent whole. */
        fun answered()
    }

    private val hash = AnswerText.promptHash(request.prompt)
    private var index = request.resumeFrom
    private var isEnded = false

    override fun close() {
        source.close()
    }

    override fun nextPartOrNull(): ByteArray? = if (isEnded) null else nextEvent().toByteArray()

    private fun nextEvent(): String {
        if (index >= request.maxTokens) {
            isEnded = true
            source.answered()
            source.close()
            return EngineChunk.DONE
        }
        source.awaitToken()
        val faults = source.faults
        val id = if (faults.isCrossed) "another-request" else requestId
        val text = AnswerText.token(hash, index)
        val event = EngineChunk.token(id, request.isChat, index, text, isLast = index == request.maxTokens - 1)
        index++
        return if (faults.isDoubled) event + event else event
    }
}
