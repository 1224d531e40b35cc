package marigoldward.entry.upstream

import okhttp3.ConnectionPool
import okhttp3.Dispatcher
import okhttp3.EventListener
import okhttp3.OkHttpClient
import okhttp3.Request
import java.util.concurrent.TimeUnit

/**
 * The HTTP clients for upstreams.
 *
 * None of them retries a call by itself. Calls that may not be repeated never reuse a connection: if the upstream has
 * closed it meanwhile, the failure can't be told from one after the upstream ran the call.
 */
internal class UpstreamClients : AutoCloseable {
    private val pooled: OkHttpClient =
        OkHttpClient
            .Builder()
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .connectTimeout(CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
            .writeTimeout(WRITE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
            .readTimeout(READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
            .connectionPool(ConnectionPool(MAX_IDLE_CONNECTIONS, KEEP_ALIVE_MINUTES, TimeUnit.MINUTES))
            .dispatcher(
                Dispatcher().apply {
                    maxRequests = MAX_POLLS
                    maxRequestsPerHost = MAX_POLLS_PER_HOST
                },
            )
            .eventListenerFactory { call -> call.request().tag(TransmissionListener::class.java) ?: EventListener.NONE }
            .build()
    private val unpooled: OkHttpClient =
        pooled.newBuilder().connectionPool(ConnectionPool(0, 1, TimeUnit.MILLISECONDS)).build()
    private val polling: OkHttpClient =
        pooled
            .newBuilder()
            .readTimeout(POLL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
            .callTimeout(POLL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
            .build()

    /** Returns the client for callers' requests. */
    fun forCall(isRepeatable: Boolean): OkHttpClient = if (isRepeatable) pooled else unpooled

    /** Returns the client for short calls that poll the state of upstreams or of the platform. */
    fun forPolling(): OkHttpClient = polling

    override fun close() {
        pooled.dispatcher.cancelAll()
        pooled.dispatcher.executorService.shutdownNow()
        pooled.connectionPool.evictAll()
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
