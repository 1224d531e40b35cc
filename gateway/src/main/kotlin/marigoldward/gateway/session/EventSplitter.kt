package marigoldward.gateway.session

import io.netty.handler.codec.TooLongFrameException
import marigoldward.gateway.upstream.ResponseLimits
import java.io.ByteArrayOutputStream

/**
 * Splits the bytes of an event stream into complete events.
 *
 * An event ends with the first empty line after a line that isn't empty. The empty lines before an event belong to it,
 * as they have no meaning of their own.
 */
internal class EventSplitter {
    private val pending = ByteArrayOutputStream()
    private var isLineEmpty = true
    private var hasLine = false

    /** One complete event: its [bytes], including the empty line at the end, and its [id], or null if it has none. */
    class Event(val bytes: ByteArray, val id: String?)

    /** Whether the bytes fed so far end inside an event. */
    val hasIncompleteEvent: Boolean get() = hasLine || !isLineEmpty

    /**
     * Returns the events that [data] completes.
     *
     * @throws TooLongFrameException if an event is longer than [ResponseLimits.MAX_EVENT_BYTES]
     */
    fun feed(data: ByteArray): List<Event> {
        if (pending.size() > ResponseLimits.MAX_EVENT_BYTES) {
            throw TooLongFrameException("an event is longer than ${ResponseLimits.MAX_EVENT_BYTES} bytes")
        }
        val events = ArrayList<Event>()
        var startIndex = 0
        data.forEachIndexed { index, byte ->
            if (isEndOfEvent(byte)) {
                pending.write(data, startIndex, index + 1 - startIndex)
                startIndex = index + 1
                val bytes = takeRest()
                events.add(Event(bytes, idOrNull(bytes)))
            }
        }
        pending.write(data, startIndex, data.size - startIndex)
        return events
    }

    /** Returns the bytes after the last complete event, and forgets them. */
    fun takeRest(): ByteArray {
        val bytes = pending.toByteArray()
        pending.reset()
        return bytes
    }

    private fun isEndOfEvent(byte: Byte): Boolean {
        if (byte == CARRIAGE_RETURN) return false
        if (byte != LINE_FEED) {
            isLineEmpty = false
            return false
        }
        val endsEvent = isLineEmpty && hasLine
        hasLine = !isLineEmpty
        isLineEmpty = true
        return endsEvent
    }

    /** Searches the bytes themselves, since a text for each line of a stream of tiny events takes too long. */
    private fun idOrNull(event: ByteArray): String? {
        var lineStart = 0
        while (lineStart < event.size) {
            var lineEnd = lineStart
            while (event[lineEnd] != LINE_FEED) lineEnd++
            if (startsWithId(event, lineStart)) {
                val valueStart = lineStart + ID_FIELD.size
                return String(event, valueStart, lineEnd - valueStart, Charsets.ISO_8859_1).trim()
            }
            lineStart = lineEnd + 1
        }
        return null
    }

    private fun startsWithId(event: ByteArray, lineStart: Int): Boolean =
        lineStart + ID_FIELD.size <= event.size && ID_FIELD.indices.all { event[lineStart + it] == ID_FIELD[it] }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        val ID_FIELD = "id:".toByteArray()
    }
}
