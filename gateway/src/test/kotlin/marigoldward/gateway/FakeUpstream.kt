package marigoldward.gateway

import java.io.BufferedInputStream
import java.io.Closeable
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread

/** An upstream that answers each request as [script] says: it writes bytes and may close the connection. */
internal class FakeUpstream(private val script: (FakeUpstream.Call) -> Unit) : Closeable {
    /** One request as it came over the wire. */
    class Call(val head: String, val body: ByteArray, val socket: Socket, val numberOnConnection: Int) {
        val id: String get() = head.lineSequence().firstOrNull {
            it.startsWith("X-Id: ")
        }?.removePrefix("X-Id: ").orEmpty()

        fun write(text: String) {
            socket.getOutputStream().write(text.toByteArray(Charsets.ISO_8859_1))
            socket.getOutputStream().flush()
        }

        /** Answers with a whole signed answer. */
        fun answer(body: String, status: String = "200 OK", headers: String = "") {
            write(
                "HTTP/1.1 $status\r\nX-Id: $id\r\nX-Signed: s\r\n${headers}Content-Length: ${body.length}\r\n\r\n$body",
            )
        }

        /** Closes the connection so that the peer sees a reset. */
        fun reset() {
            socket.setSoLinger(true, 0)
            socket.close()
        }
    }

    private val server = ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))
    val calls: MutableList<Call> = CopyOnWriteArrayList()
    val closed = LinkedBlockingQueue<String>()
    val address: String get() = "127.0.0.1:${server.localPort}"

    init {
        thread(isDaemon = true) {
            while (!server.isClosed) {
                val socket = runCatching { server.accept() }.getOrNull() ?: break
                thread(isDaemon = true) { runCatching { serve(socket) } }
            }
        }
    }

    /** Waits until the peer has closed the connection of a call. */
    fun awaitClosed(): String? = closed.poll(3, TimeUnit.SECONDS)

    override fun close() = server.close()

    private fun serve(socket: Socket) {
        val input = BufferedInputStream(socket.getInputStream())
        var number = 0
        var last = ""
        while (true) {
            val head = readHead(input) ?: break
            val length = Regex("(?i)content-length: (\\d+)").find(head)?.groupValues?.get(1)?.toInt() ?: 0
            val call = Call(head, input.readNBytes(length), socket, number++)
            last = call.id
            calls.add(call)
            script(call)
        }
        closed.offer(last)
    }

    private fun readHead(input: InputStream): String? {
        val text = StringBuilder()
        while (!text.endsWith("\r\n\r\n")) {
            val byte = runCatching { input.read() }.getOrDefault(-1)
            if (byte < 0) return null
            text.append(byte.toChar())
        }
        return text.toString()
    }
}

/** A script, for several upstreams together, that does [first] with the first request and [later] with the others. */
internal fun firstThen(
    first: (FakeUpstream.Call) -> Unit,
    later: (FakeUpstream.Call) -> Unit,
): (FakeUpstream.Call) -> Unit {
    val isFirst = AtomicBoolean(true)
    return { call -> if (isFirst.getAndSet(false)) first(call) else later(call) }
}
