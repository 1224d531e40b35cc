package marigoldward.gateway.message

import io.netty.buffer.ByteBuf
import marigoldward.support.http.HttpGrammar

/**
 * Checks the lines of the messages of one connection as they are received, as a decoder consumes them: heads, the sizes of
 * chunks and trailers. The decoder itself cuts names at blanks and keeps control characters.
 *
 * @param startLineProblemOrNull returns what is wrong with the first line of a message, or null
 */
internal class MessageLines(private val startLineProblemOrNull: (String) -> String?) {
    private enum class Part { START, FIELDS, CHUNK_SIZE }

    private var part = Part.START
    private var line = StringBuilder()

    /** The bytes of the chunk that are still to come. */
    private var chunkBytes = 0L

    /** Expects the size of a chunk next. */
    fun beginChunks() {
        part = Part.CHUNK_SIZE
    }

    /**
     * Checks the bytes of [buffer] from [fromIndex] until [untilIndex], which follow those that were checked before, and
     * returns what is wrong with the first malformed line, or null.
     */
    fun problemOrNull(buffer: ByteBuf, fromIndex: Int, untilIndex: Int): String? {
        var index = fromIndex
        while (index < untilIndex) {
            val dataBytes = minOf(chunkBytes, (untilIndex - index).toLong())
            chunkBytes -= dataBytes
            index += dataBytes.toInt()
            if (index == untilIndex) break
            val char = (buffer.getByte(index++).toInt() and BYTE_MASK).toChar()
            if (char == '\n') endLine()?.let { return it } else line.append(char)
        }
        return null
    }

    private fun endLine(): String? {
        val text = line.removeSuffix("\r").toString()
        // An idle connection keeps no space for the longest line that it has had.
        if (line.capacity() > MAX_KEPT_CHARACTERS) line = StringBuilder() else line.setLength(0)
        return when (part) {
            // Empty lines may stand before a message.
            Part.START -> if (text.isEmpty()) null else startLineProblemOrNull(text).also { part = Part.FIELDS }
            Part.FIELDS ->
                if (text.isEmpty()) {
                    part = Part.START
                    null
                } else {
                    HttpGrammar.fieldLineProblemOrNull(text)
                }
            // An empty line ends the chunk before.
            Part.CHUNK_SIZE -> if (text.isEmpty()) null else chunkLineProblemOrNull(text)
        }
    }

    private fun chunkLineProblemOrNull(text: String): String? {
        val sizeBytes = HttpGrammar.chunkSizeOrNull(text) ?: return "the size of a chunk is malformed"
        chunkBytes = sizeBytes
        if (sizeBytes == 0L) part = Part.FIELDS
        return null
    }

    private companion object {
        const val BYTE_MASK = 0xff
        const val MAX_KEPT_CHARACTERS = 256
    }
}
