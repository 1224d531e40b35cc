package marigoldward.standin.service

import marigoldward.standin.ObservedWork
import marigoldward.support.http.StreamingUndertow
import org.http4k.core.Body
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.server.Http4kServer
import java.io.IOException
import java.io.InputStream
import java.net.InetSocketAddress

/**
 * An emulated instance of a plain service.
 *
 * A `POST` makes a booking with the id in its body, so repeating it books twice; a `GET` changes nothing.
 */
public class ServiceServer internal constructor(
    /** The settings of the instance. */
    public val settings: ServiceSettings,
    private val observed: ObservedWork,
) : AutoCloseable {
    private var server: Http4kServer? = null
    private var boundPort = settings.listen.port

    @Volatile
    private var isBreakingAfterBooking = false

    /** The address that the instance listens on, or listened on before it stopped. */
    public val address: InetSocketAddress get() = InetSocketAddress(settings.listen.hostString, boundPort)

    /** Starts listening; does nothing if the instance is listening. */
    @Synchronized
    public fun start() {
        if (server != null) return
        val at = InetSocketAddress(settings.listen.hostString, boundPort)
        val started = StreamingUndertow.at(at, MAX_BODY_BYTES, WORKER_THREADS).toServer(handler()).start()
        boundPort = started.port()
        server = started
    }

    /** Sets whether the service makes a booking but then breaks the connection instead of answering. */
    public fun setBreakingAfterBooking(isBreaking: Boolean) {
        isBreakingAfterBooking = isBreaking
    }

    @Synchronized
    override fun close() {
        server?.stop()
        server = null
    }

    private fun handler(): HttpHandler = { request ->
        observed.recordStart(request.header("X-Request-Id").orEmpty(), settings.id.text)
        Thread.sleep(settings.latencyMillis)
        when (request.method) {
            Method.POST -> book(request)
            Method.GET -> respond(request, Status.OK, "${settings.pool} ${request.uri.path}")
            else -> Response(Status.METHOD_NOT_ALLOWED)
        }
    }

    private fun book(request: Request): Response {
        val bookingId = request.bodyString()
        observed.recordBooking(bookingId)
        if (isBreakingAfterBooking) return Response(Status.OK).body(Body(UnreadableBody()))
        return respond(request, Status.CREATED, "booked $bookingId")
    }

    private fun respond(request: Request, status: Status, text: String): Response = Response(status)
        .header("Content-Type", "text/plain")
        .header("X-Request-Id", request.header("X-Request-Id"))
        .body("$text\n")

    /** A body whose read fails, so that the connection breaks. */
    private class UnreadableBody : InputStream() {
        override fun read(): Int = throw IOException("injected fault: the service breaks the connection")
    }

    private companion object {
        const val MAX_BODY_BYTES = 4_194_304L
        const val WORKER_THREADS = 64
    }
}
