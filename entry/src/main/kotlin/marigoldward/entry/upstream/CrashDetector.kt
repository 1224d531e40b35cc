package marigoldward.entry.upstream

import marigoldward.core.getOrNull
import marigoldward.core.serving.UpstreamInfo
import marigoldward.support.http.boundedText
import java.io.IOException
import java.net.ConnectException

/**
 * Determines whether an upstream crashed, after a connection to it broke.
 *
 * An upstream has crashed if it refuses connections or has restarted as another incarnation. One that can't be reached
 * for another reason has not: the network may have failed. A process that is about to exit may still answer once, so an
 * upstream that seems to run is asked several times.
 */
internal class CrashDetector(private val clients: UpstreamClients, private val incarnations: KnownIncarnations) {
    /** Returns whether [upstream] has crashed, after at most [MAX_CHECKS] checks. */
    fun hasCrashed(upstream: UpstreamInfo): Boolean {
        val lastKnown = incarnations.lastKnownOrNull(upstream.id)
        repeat(MAX_CHECKS - 1) {
            if (isDownOrRestarted(upstream, lastKnown)) return true
            Thread.sleep(CHECK_INTERVAL_MILLIS)
        }
        return isDownOrRestarted(upstream, lastKnown)
    }

    private fun isDownOrRestarted(upstream: UpstreamInfo, lastKnown: String?): Boolean = try {
        val request = UpstreamClients.get(upstream.address, "/engine/state")
        clients.forPolling().newCall(request).execute().use { response ->
            val text = response.boundedText()
            val current = EngineMessageJson.read(EngineStateMessage.serializer(), text).getOrNull()?.incarnation
            lastKnown != null && current != null && lastKnown != current
        }
    } catch (_: ConnectException) {
        true
    } catch (_: IOException) {
        false
    }

    private companion object {
        const val MAX_CHECKS = 3
        const val CHECK_INTERVAL_MILLIS = 100L
    }
}
