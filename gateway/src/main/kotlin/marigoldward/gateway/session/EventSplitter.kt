package marigoldward.gateway.session

import java.io.ByteArrayOutputStream

/** Splits the bytes of an event stream into whole events. */
internal class EventSplitter {
    private val pending = ByteArrayOutputStream()
    private var lineIsEmpty = true

    /** One whole event: its bytes, with the empty line at its end, and its id if it has one. */
    class Event(val bytes: ByteArray, val id: String?)

    /** Whether a part of an event has come that is not whole. */
    val hasPart: Boolean get() = pending.size() > 0

    /** Returns the events that [data] completes. */
    fun feed(data: ByteArray): List<Event> {
        val events = ArrayList<Event>()
        data.forEach { byte ->
            pending.write(byte.toInt())
            when (byte) {
                LINE_FEED -> {
                    if (lineIsEmpty) events.add(take())
                    lineIsEmpty = true
                }
                CARRIAGE_RETURN -> Unit
                else -> lineIsEmpty = false
            }
        }
        return events
    }

    private fun take(): Event {
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
