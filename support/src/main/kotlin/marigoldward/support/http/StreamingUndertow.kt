package marigoldward.support.http

import io.undertow.Undertow
import io.undertow.UndertowOptions
import io.undertow.server.HttpServerExchange
import io.undertow.server.handlers.BlockingHandler
import io.undertow.util.HttpString
import marigoldward.support.program.ListenAddress
import marigoldward.support.program.ListenWait
import org.http4k.core.Body
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.RequestSource
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.core.Uri
import org.http4k.server.Http4kServer
import org.http4k.server.ServerConfig
import java.io.IOException
import java.io.InputStream
import java.net.InetSocketAddress
import java.util.concurrent.atomic.AtomicInteger

/**
 * An http4k server on Undertow that sends each part of a streamed response body as soon as it is available.
 *
 * @property maxBodyBytes the size of the largest request body that is accepted
 * @property workerThreads the largest number of requests that are handled at once
 */
public class StreamingUndertow private constructor(
    private val address: InetSocketAddress,
    private val maxBodyBytes: Long,
    private val workerThreads: Int,
    private val wait: ListenWait,
) : ServerConfig {
    private val active = AtomicInteger()

    /** The number of requests whose response has not been sent completely. */
    public val activeRequests: Int get() = active.get()

    /** If true, each response closes its connection, so that callers send no further requests on it. */
    @Volatile
    public var isClosingConnections: Boolean = false

    override fun toServer(http: HttpHandler): Http4kServer {
        val server =
            Undertow
                .builder()
                .addHttpListener(address.port, address.hostString)
                .setIoThreads(IO_THREADS)
                .setWorkerThreads(workerThreads)
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, maxBodyBytes)
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_CONNECTION_MILLIS)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, REQUEST_PARSE_MILLIS)
                .setHandler(BlockingHandler { exchange -> handle(exchange, http) })
                .build()
        return RunningServer(server)
    }

    private fun handle(exchange: HttpServerExchange, http: HttpHandler) {
        val request = toRequest(exchange)
        if (request == null) {
            exchange.statusCode = Status.NOT_IMPLEMENTED.code
            exchange.endExchange()
            return
        }
        active.incrementAndGet()
        try {
            send(exchange, http(request))
        } finally {
            active.decrementAndGet()
        }
    }

    private fun toRequest(exchange: HttpServerExchange): Request? {
        val method = Method.entries.firstOrNull { it.name == exchange.requestMethod.toString() } ?: return null
        val query = exchange.queryString
        val uri = if (query.isEmpty()) exchange.requestURI else "${exchange.requestURI}?$query"
        val headers = exchange.requestHeaders.flatMap { header -> header.map { header.headerName.toString() to it } }
        val source = exchange.sourceAddress
        return Request(method, Uri.of(uri))
            .headers(headers)
            .body(Body(exchange.inputStream, exchange.requestContentLength.takeIf { it >= 0 }))
            .source(RequestSource(source.hostString, source.port, exchange.requestScheme))
    }

    private fun send(exchange: HttpServerExchange, response: Response) {
        response.body.stream.use { body ->
            exchange.statusCode = response.status.code
            if (isClosingConnections) exchange.setPersistent(false)
            response.headers.forEach { (name, value) ->
                exchange.responseHeaders.add(HttpString(name), value.orEmpty())
            }
            try {
                copy(body, exchange)
            } catch (_: IOException) {
                exchange.connection.close()
            }
        }
    }

    private fun copy(body: InputStream, exchange: HttpServerExchange) {
        val output = exchange.outputStream
        val buffer = ByteArray(COPY_BUFFER_BYTES)
        while (true) {
            val count = body.read(buffer)
            if (count < 0) break
            output.write(buffer, 0, count)
            output.flush()
        }
        output.close()
    }

    private inner class RunningServer(private val server: Undertow) : Http4kServer {
        override fun start(): Http4kServer = apply { ListenAddress.bindWhenFree(address, wait) { server.start() } }

        override fun stop(): Http4kServer = apply { server.stop() }

        override fun port(): Int = (server.listenerInfo.first().address as InetSocketAddress).port
    }

    /** Creates server configurations. */
    public companion object {
        private const val IO_THREADS = 2
        private const val COPY_BUFFER_BYTES = 16_384
        private const val MAX_HEADER_BYTES = 32_768
        private const val IDLE_CONNECTION_MILLIS = 120_000
        private const val REQUEST_PARSE_MILLIS = 10_000

        /** Returns a configuration that binds only to [address]. Port 0 means any free port. */
        public fun at(
            address: InetSocketAddress,
            maxBodyBytes: Long,
            workerThreads: Int,
            wait: ListenWait = ListenWait.Bounded(),
        ): StreamingUndertow = StreamingUndertow(address, maxBodyBytes, workerThreads, wait)
    }
}
