package marigoldward.standin.engine

import marigoldward.standin.AnswerText
import marigoldward.support.http.PartsInputStream

/** The body of a streamed answer. A read waits for the engine's next token; closing the body cancels the rest. */
internal class TokenStream(
    private val request: CompletionRequest,
    private val requestId: String,
    private val source: TokenSource,
) : PartsInputStream() {
    /** Determines when tokens are ready. */
    interface TokenSource : AutoCloseable {
        /**
         * Waits until the next token is ready.
         *
         * @throws java.io.IOException if the engine crashes
         */
        fun awaitToken()

        /** The faults to put into the answer. */
        val faults: AnswerFaults

        /** Records that all tokens were generated, so that closing does not count as a cancellation. */
        fun markComplete()
    }

    private val promptHash = AnswerText.promptHash(request.prompt)
    private var index = request.resumeFrom
    private var isAtEnd = false

    override fun close() {
        source.close()
    }

    override fun nextPartOrNull(): ByteArray? = if (isAtEnd) null else nextEvent().toByteArray()

    private fun nextEvent(): String {
        if (index >= request.maxTokens) {
            isAtEnd = true
            source.markComplete()
            source.close()
            return CompletionEvents.DONE
        }
        source.awaitToken()
        val faults = source.faults
        val id = if (faults.hasWrongRequestId) "another-request" else requestId
        val text = AnswerText.token(promptHash, index)
        val event = CompletionEvents.token(id, request.isChat, index, text, isLast = index == request.maxTokens - 1)
        index++
        return if (faults.hasRepeatedTokens) event + event else event
    }
}
