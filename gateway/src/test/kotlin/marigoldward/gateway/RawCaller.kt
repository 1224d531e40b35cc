package marigoldward.gateway

import java.io.Closeable
import java.io.InputStream
import java.net.InetSocketAddress
import java.net.Socket
import java.net.SocketException

/**
 * A caller that sends arbitrary bytes over one connection.
 *
 * @param receiveBufferBytes how much the operating system keeps for the caller, or null for its default
 */
internal class RawCaller(port: Int, receiveBufferBytes: Int? = null) : Closeable {
    private val socket = Socket().apply {
        if (receiveBufferBytes != null) receiveBufferSize = receiveBufferBytes
        connect(InetSocketAddress("127.0.0.1", port))
        soTimeout = 5_000
    }
    private val input: InputStream = socket.getInputStream()

    /** Whether the peer has reset the connection while a response was being read. */
    var wasReset: Boolean = false
        private set

    /** A received response; [isComplete] is false if the connection was closed inside it. */
    class Response(val status: Int, val head: String, val body: String, val isComplete: Boolean)

    fun send(text: String) {
        socket.getOutputStream().write(text.toByteArray(Charsets.ISO_8859_1))
        socket.getOutputStream().flush()
    }

    /** Reads one response, to a `HEAD` request if [isHead]; returns null if the connection was closed before it. */
    fun readResponse(isHead: Boolean = false): Response? {
        val head = readUntil("\r\n\r\n") ?: return null
        val status = head.substring(9, 12).toInt()
        if (isHead) return Response(status, head, "", true)
        if (status in INTERIM_STATUSES) return Response(status, head, "", true)
        val length = Regex("(?i)content-length: (\\d+)").find(head)?.groupValues?.get(1)?.toInt()
        if (length != null) {
            val body = String(input.readNBytes(length), Charsets.ISO_8859_1)
            return Response(status, head, body, body.length == length)
        }
        return readChunked(status, head)
    }

    /** Returns everything until the peer closes the connection; throws a `SocketException` if it resets it. */
    fun readToEnd(): String = String(input.readAllBytes(), Charsets.ISO_8859_1)

    /** Reads [byteCount] bytes and drops them. */
    fun skip(byteCount: Long) = input.skipNBytes(byteCount)

    /** Whether the peer has closed the connection. */
    fun isClosed(): Boolean = runCatching { input.read() < 0 }.getOrDefault(true)

    override fun close() = socket.close()

    private fun readChunked(status: Int, head: String): Response {
        val body = StringBuilder()
        while (true) {
            val size = readUntil("\r\n")?.trim()?.toInt(16) ?: return Response(status, head, body.toString(), false)
            body.append(String(input.readNBytes(size), Charsets.ISO_8859_1))
            readUntil("\r\n") ?: return Response(status, head, body.toString(), false)
            if (size == 0) return Response(status, head, body.toString(), true)
        }
    }

    private fun readUntil(end: String): String? {
        val text = StringBuilder()
        while (!text.endsWith(end)) {
            val byte = runCatching { input.read() }.onFailure { wasReset = it is SocketException }.getOrDefault(-1)
            if (byte < 0) return null
            text.append(byte.toChar())
        }
        return text.toString()
    }

    private companion object {
        /** Statuses of responses that consist of a head only and come before the final response. */
        val INTERIM_STATUSES = 100..199
    }
}
