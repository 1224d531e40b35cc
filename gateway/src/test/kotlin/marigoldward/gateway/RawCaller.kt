package marigoldward.gateway

import java.io.Closeable
import java.io.InputStream
import java.net.Socket

/** A caller that sends bytes as they are. */
internal class RawCaller(port: Int) : Closeable {
    private val socket = Socket("127.0.0.1", port).apply { soTimeout = 5_000 }
    private val input: InputStream = socket.getInputStream()

    /** An answer as it came: its status, its head and its body; [isWhole] unless the connection ended inside it. */
    class Answer(val status: Int, val head: String, val body: String, val isWhole: Boolean)

    fun send(text: String) {
        socket.getOutputStream().write(text.toByteArray(Charsets.ISO_8859_1))
        socket.getOutputStream().flush()
    }

    /** Reads one answer, or returns null if the connection ends before it. */
    fun answer(): Answer? {
        val head = readUntil("\r\n\r\n") ?: return null
        val status = head.substring(9, 12).toInt()
        val length = Regex("(?i)content-length: (\\d+)").find(head)?.groupValues?.get(1)?.toInt()
        if (length != null) {
            val body = String(input.readNBytes(length), Charsets.ISO_8859_1)
            return Answer(status, head, body, body.length == length)
        }
        return chunked(status, head)
    }

    /** Whether the peer has closed the connection. */
    fun isClosed(): Boolean = runCatching { input.read() < 0 }.getOrDefault(true)

    override fun close() = socket.close()

    private fun chunked(status: Int, head: String): Answer {
        val body = StringBuilder()
        while (true) {
            val size = readUntil("\r\n")?.trim()?.toInt(16) ?: return Answer(status, head, body.toString(), false)
            body.append(String(input.readNBytes(size), Charsets.ISO_8859_1))
            readUntil("\r\n") ?: return Answer(status, head, body.toString(), false)
            if (size == 0) return Answer(status, head, body.toString(), true)
        }
    }

    private fun readUntil(end: String): String? {
        val text = StringBuilder()
        while (!text.endsWith(end)) {
            val byte = runCatching { input.read() }.getOrDefault(-1)
            if (byte < 0) return null
            text.append(byte.toChar())
        }
        return text.toString()
    }
}
