package marigoldward.gateway.session

import io.netty.handler.codec.TooLongFrameException
import marigoldward.gateway.upstream.ResponseLimits
import java.io.ByteArrayOutputStream

/** Splits the bytes of an event stream into complete events. */
internal class EventSplitter {
    private val pending = ByteArrayOutputStream()
    private var isLineEmpty = true

    /** One complete event: its [bytes], including the empty line at the end, and its [id], or null if it has none. */
    class Event(val bytes: ByteArray, val id: String?)

    /** Whether the bytes fed so far end inside an event. */
    val hasIncompleteEvent: Boolean get() = pending.size() > 0

    /**
     * Returns the events that [data] completes.
     *
     * @throws TooLongFrameException if an event is longer than [ResponseLimits.MAX_EVENT_BYTES]
     */
    fun feed(data: ByteArray): List<Event> {
        val events = ArrayList<Event>()
        if (pending.size() > ResponseLimits.MAX_EVENT_BYTES) {
            throw TooLongFrameException("an event is longer than ${ResponseLimits.MAX_EVENT_BYTES} bytes")
        }
        data.forEach { byte ->
            pending.write(byte.toInt())
            when (byte) {
                LINE_FEED -> {
                    if (isLineEmpty) events.add(takeEvent())
                    isLineEmpty = true
                }
                CARRIAGE_RETURN -> Unit
                else -> isLineEmpty = false
            }
        }
        return events
    }

    private fun takeEvent(): Event {
        val bytes = pending.toByteArray()
        pending.reset()
        val line = bytes.toString(Charsets.ISO_8859_1).lineSequence().firstOrNull { it.startsWith(ID_FIELD) }
        return Event(bytes, line?.removePrefix(ID_FIELD)?.trim())
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_FIELD = "id:"
    }
}
