package marigoldward.entry.upstream

import marigoldward.core.getOrNull
import marigoldward.core.model.RequestId
import okhttp3.Call
import okhttp3.Response
import java.io.IOException

/**
 * The streamed answer of an engine to one attempt.
 *
 * Events with the id of another request and tokens that were already read are discarded, and [onDropped] is called with
 * the reason, a metric label. A missing token ends the answer as [Part.Broken].
 */
internal class EngineAnswer(
    private val call: Call,
    private val response: Response,
    private val id: RequestId,
    firstTokenIndex: Long,
    private val onDropped: (String) -> Unit,
) : AutoCloseable {
    /** A part of an answer. */
    sealed interface Part {
        /** A token; only the last one has a [finishReason]. */
        data class Token(val text: String, val finishReason: String?) : Part

        /** The end of a complete answer. */
        data object End : Part

        /** The answer ended before it was complete, or is not valid. */
        data class Broken(val reason: String) : Part
    }

    private val source = checkNotNull(response.body) { "the response has no body" }.source()
    private var nextTokenIndex = firstTokenIndex
    private var hasFinishReason = false

    /** Waits for the next part and returns it. */
    fun next(): Part {
        while (true) {
            val line =
                try {
                    if (source.exhausted()) null else source.readUtf8LineStrict(MAX_LINE_BYTES)
                } catch (failure: IOException) {
                    return Part.Broken(failure.message ?: failure.javaClass.simpleName)
                }
            if (line == null) return Part.Broken("the connection was closed before the end of the answer")
            if (!line.startsWith(DATA_PREFIX)) continue
            val part = partOrNull(line.removePrefix(DATA_PREFIX))
            if (part != null) return part
        }
    }

    /** Cancels the call, so that the engine stops working on the answer. */
    override fun close() {
        call.cancel()
        response.close()
    }

    private fun partOrNull(data: String): Part? {
        if (data == DONE) {
            return if (hasFinishReason) Part.End else Part.Broken("the answer ended without a finish reason")
        }
        val chunk =
            EngineMessageJson.read(ChunkMessage.serializer(), data).getOrNull()
                ?: return Part.Broken("an event of the answer is not valid")
        return when {
            chunk.id != id.text -> drop("crossed")
            chunk.tokenIndex < nextTokenIndex -> drop("doubled")
            chunk.tokenIndex > nextTokenIndex -> Part.Broken("token $nextTokenIndex is missing")
            else -> {
                nextTokenIndex++
                hasFinishReason = chunk.finishReason != null
                Part.Token(chunk.newText, chunk.finishReason)
            }
        }
    }

    private fun drop(reason: String): Part? {
        onDropped(reason)
        return null
    }

    private companion object {
        const val DATA_PREFIX = "data: "
        const val DONE = "[DONE]"
        const val MAX_LINE_BYTES = 1024L * 1024
    }
}
