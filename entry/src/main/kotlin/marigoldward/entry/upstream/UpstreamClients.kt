package marigoldward.entry.upstream

import marigoldward.support.net.OutgoingSocket
import okhttp3.ConnectionPool
import okhttp3.Dispatcher
import okhttp3.EventListener
import okhttp3.OkHttpClient
import okhttp3.Request
import java.util.concurrent.TimeUnit

/**
 * The HTTP clients for upstreams.
 *
 * None of them retries a call by itself. Callers' requests never reuse a connection: if the upstream has closed it
 * meanwhile, the failure can't be told from one after the upstream ran the call; and a second answer to an earlier call
 * that comes late would be read as the answer to the next one.
 */
internal class UpstreamClients : AutoCloseable {
    private val polling: OkHttpClient =
        OkHttpClient
            .Builder()
            .socketFactory(OutgoingSocket.Factory)
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .connectTimeout(CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
            .writeTimeout(WRITE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
            .readTimeout(POLL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
            .callTimeout(POLL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
            .connectionPool(ConnectionPool(MAX_IDLE_CONNECTIONS, KEEP_ALIVE_MINUTES, TimeUnit.MINUTES))
            .dispatcher(
                Dispatcher().apply {
                    maxRequests = MAX_POLLS
                    maxRequestsPerHost = MAX_POLLS_PER_HOST
                },
            )
            .build()
    private val unpooled: OkHttpClient =
        polling
            .newBuilder()
            .readTimeout(READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
            .callTimeout(0, TimeUnit.MILLISECONDS)
            .connectionPool(ConnectionPool(0, 1, TimeUnit.MILLISECONDS))
            .eventListenerFactory { call -> call.request().tag(TransmissionListener::class.java) ?: EventListener.NONE }
            .build()

    /** Returns the client for callers' requests. */
    fun forCall(): OkHttpClient = unpooled

    /** Returns the client for short calls that poll the state of upstreams or of the platform. */
    fun forPolling(): OkHttpClient = polling

    override fun close() {
        polling.dispatcher.cancelAll()
        polling.dispatcher.executorService.shutdownNow()
        polling.connectionPool.evictAll()
    }

    companion object {
        private const val CONNECT_TIMEOUT_MILLIS = 500L
        private const val WRITE_TIMEOUT_MILLIS = 5_000L
        private const val READ_TIMEOUT_MILLIS = 15_000L
        private const val POLL_TIMEOUT_MILLIS = 400L
        private const val MAX_IDLE_CONNECTIONS = 256
        private const val KEEP_ALIVE_MINUTES = 5L
        private const val MAX_POLLS = 128
        private const val MAX_POLLS_PER_HOST = 2

        /** Returns a `GET` request for [path] at [address]. */
        fun get(address: String, path: String): Request = Request.Builder().url("http://$address$path").build()
    }
}
