package marigoldward.controller.platform

import marigoldward.core.getOrNull
import marigoldward.core.serving.UpstreamInfo
import marigoldward.support.http.boundedText
import marigoldward.support.net.OutgoingSocket
import marigoldward.support.platform.PlatformListing
import marigoldward.support.settings.toText
import okhttp3.OkHttpClient
import okhttp3.Request
import java.io.IOException
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

/** Reads the platform's list of upstreams. While it can't be read, the last one remains in use. */
internal class UpstreamListReader(platform: InetSocketAddress) : AutoCloseable {
    private val client = OkHttpClient
        .Builder()
        .socketFactory(OutgoingSocket.Factory)
        .callTimeout(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .build()
    private val request = Request.Builder().url("http://${platform.toText()}/v1/instances").build()
    private var lastRead = emptyList<UpstreamInfo>()

    /** Returns the current list, or the last one if the platform gives no valid answer. */
    fun read(): List<UpstreamInfo> {
        try {
            client.newCall(request).execute().use { response ->
                PlatformListing.parse(response.boundedText()).getOrNull()?.let { lastRead = it }
            }
        } catch (_: IOException) {
            return lastRead
        }
        return lastRead
    }

    override fun close() {
        client.dispatcher.executorService.shutdownNow()
        client.connectionPool.evictAll()
    }

    private companion object {
        const val CALL_TIMEOUT_MILLIS = 1_000L
    }
}
