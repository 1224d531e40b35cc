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
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/**
 * An upstream that passes each request to [script], which writes arbitrary bytes or closes the connection.
 *
 * @param acceptDelayMillis how long connections wait in the queue of the system at first, as while a process stalls
 */
internal class FakeUpstream(private val acceptDelayMillis: Long, private val script: (FakeUpstream.Call) -> Unit) :
    Closeable {
    constructor(script: (FakeUpstream.Call) -> Unit) : this(0, script)

    /** One received request; [numberOnConnection] counts the requests of its connection from 0. */
    class Call(val head: String, val body: ByteArray, val socket: Socket, val numberOnConnection: Int) {
        val id: String
            get() = head.lineSequence().firstOrNull { it.startsWith("X-Id: ") }?.removePrefix("X-Id: ").orEmpty()

        fun write(text: String) {
            socket.getOutputStream().write(text.toByteArray(Charsets.ISO_8859_1))
            socket.getOutputStream().flush()
        }

        /** Sends a complete, signed response. */
        fun respond(body: String, status: String = "200 OK", headers: String = "") {
            write(
                "HTTP/1.1 $status\r\nX-Id: $id\r\nX-Signed: s\r\n${headers}Content-Length: ${body.length}\r\n\r\n$body",
            )
        }

        /** Closes the connection with a TCP reset. */
        fun reset() {
            socket.setSoLinger(true, 0)
            socket.close()
        }
    }

    private val server = ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))
    val calls: MutableList<Call> = CopyOnWriteArrayList()
    val connectionCount = AtomicInteger()
    val closedRequestIds = LinkedBlockingQueue<String>()
    val address: String get() = "127.0.0.1:${server.localPort}"

    init {
        thread(isDaemon = true) {
            Thread.sleep(acceptDelayMillis)
            while (!server.isClosed) {
                val socket = runCatching { server.accept() }.getOrNull() ?: break
                connectionCount.incrementAndGet()
                thread(isDaemon = true) { runCatching { serve(socket) } }
            }
        }
    }

    /** Waits until a connection is closed; returns the id of its last request, or null after 3 s. */
    fun awaitClosed(): String? = closedRequestIds.poll(3, TimeUnit.SECONDS)

    override fun close() = server.close()

    private fun serve(socket: Socket) {
        val input = BufferedInputStream(socket.getInputStream())
        var number = 0
        var lastId = ""
        while (true) {
            val head = readHead(input) ?: break
            val length = Regex("(?i)content-length: (\\d+)").find(head)?.groupValues?.get(1)?.toInt() ?: 0
            val call = Call(head, input.readNBytes(length), socket, number++)
            lastId = call.id
            calls.add(call)
            script(call)
        }
        closedRequestIds.offer(lastId)
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

/**
 * Returns a script, to be shared by several upstreams, that runs [first] for the first request and [others] for all
 * others.
 */
internal fun firstThenOthers(
    first: (FakeUpstream.Call) -> Unit,
    others: (FakeUpstream.Call) -> Unit,
): (FakeUpstream.Call) -> Unit {
    val isFirst = AtomicBoolean(true)
    return { call -> if (isFirst.getAndSet(false)) first(call) else others(call) }
}
