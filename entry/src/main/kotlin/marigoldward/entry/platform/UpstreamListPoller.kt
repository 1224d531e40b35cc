package marigoldward.entry.platform

import marigoldward.core.Outcome
import marigoldward.entry.serving.ServingLoop
import marigoldward.entry.serving.ServingLoopEvent
import marigoldward.entry.upstream.UpstreamClients
import marigoldward.support.http.boundedText
import marigoldward.support.log.EventLog
import marigoldward.support.platform.PlatformListing
import marigoldward.support.settings.toText
import java.io.IOException
import java.net.InetSocketAddress

/** Polls the platform's list of upstreams. While it can't be read, the last one remains in use. */
internal class UpstreamListPoller(
    platform: InetSocketAddress,
    private val clients: UpstreamClients,
    private val servingLoop: ServingLoop,
) {
    private val request = UpstreamClients.get(platform.toText(), "/v1/instances")
    private var hasFailed = false

    /** Reads the list and passes it to the serving loop. A failure is logged unless the last poll failed as well. */
    fun poll() {
        try {
            clients.forPolling().newCall(request).execute().use { response ->
                val text = response.boundedText()
                if (!response.isSuccessful) throw IOException("status ${response.code}")
                when (val list = PlatformListing.parse(text)) {
                    is Outcome.Failure -> return logFailure(list.error)
                    is Outcome.Success -> servingLoop.put(ServingLoopEvent.UpstreamsListed(list.value))
                }
            }
            hasFailed = false
        } catch (failure: IOException) {
            logFailure(failure)
        }
    }

    private fun logFailure(failure: Any) {
        if (hasFailed) return
        hasFailed = true
        log.warn("list_not_read") { field("error", failure) }
    }

    private companion object {
        val log = EventLog.fromName("platform")
    }
}
