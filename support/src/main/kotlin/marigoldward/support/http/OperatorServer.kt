package marigoldward.support.http

import marigoldward.support.metrics.MetricsPage
import marigoldward.support.program.KeyFile
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.server.Http4kServer
import java.net.InetSocketAddress

/**
 * The HTTP server for the operators of one process: `/health`, `/ready`, `/metrics` and paths that the process adds.
 *
 * All paths but `/health` and `/ready` require the header `Authorization: Bearer KEY`.
 */
public class OperatorServer private constructor(private val server: Http4kServer) : AutoCloseable {
    /** The port that it listens on. */
    public val port: Int get() = server.port()

    override fun close() {
        server.stop()
    }

    /** Starts operator servers. */
    public companion object {
        private const val MAX_BODY_BYTES = 65_536L
        private const val WORKER_THREADS = 4

        /** Starts a server at [address]. [isReady] decides the answer to `/ready`; [otherPaths] handles other paths. */
        public fun start(
            address: InetSocketAddress,
            key: KeyFile,
            isReady: () -> Boolean,
            otherPaths: HttpHandler = { Response(Status.NOT_FOUND) },
        ): OperatorServer {
            val handler: HttpHandler = { request -> answer(request, key, isReady, otherPaths) }
            val config = StreamingUndertow.at(address, MAX_BODY_BYTES, WORKER_THREADS)
            return OperatorServer(config.toServer(handler).start())
        }

        private fun answer(request: Request, key: KeyFile, isReady: () -> Boolean, otherPaths: HttpHandler): Response =
            when {
                request.method != Method.GET && request.method != Method.POST -> Response(Status.METHOD_NOT_ALLOWED)
                request.uri.path == "/health" -> Response(Status.OK).body("ok\n")
                request.uri.path == "/ready" -> readiness(isReady())
                !key.accepts(request.header("Authorization")?.removePrefix("Bearer ")) -> Response(Status.UNAUTHORIZED)
                request.uri.path == "/metrics" -> MetricsPage.render()
                else -> otherPaths(request)
            }

        private fun readiness(isReady: Boolean): Response = if (isReady) {
            Response(Status.OK).body("ready\n")
        } else {
            Response(Status.SERVICE_UNAVAILABLE).body("not ready\n")
        }
    }
}
