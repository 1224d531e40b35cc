package marigoldward.entry.upstream

import marigoldward.core.config.SiteConfiguration
import marigoldward.core.getOrNull
import marigoldward.core.model.EngineRole
import marigoldward.core.model.UpstreamId
import marigoldward.core.model.UpstreamKind
import marigoldward.core.serving.LoadReport
import marigoldward.core.serving.ServingEvent
import marigoldward.core.serving.UpstreamInfo
import marigoldward.entry.serving.ServingLoop
import marigoldward.support.http.boundedText
import okhttp3.Call
import okhttp3.Callback
import okhttp3.Response
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap

/** Polls the engines for their loads and for the changes of their prefix caches, without waiting for the answers. */
internal class EnginePoller(
    private val clients: UpstreamClients,
    private val servingLoop: ServingLoop,
    private val incarnations: KnownIncarnations,
    private val currentConfiguration: () -> SiteConfiguration?,
) {
    private val loadPollsInFlight = ConcurrentHashMap.newKeySet<UpstreamId>()
    private val nextCacheEventSequences = ConcurrentHashMap<UpstreamId, Long>()

    /** Requests the load of every engine whose last load request has ended. */
    fun pollLoads() {
        engines().filter { loadPollsInFlight.add(it.id) }.forEach { engine ->
            val request = UpstreamClients.get(engine.address, "/engine/load")
            clients.forPolling().newCall(request).enqueue(
                callback(
                    onText = { text -> reportLoad(engine, text) },
                    onFailure = { servingLoop.put(ServingEvent.LoadReportMissed(engine.id)) },
                    onEnd = { loadPollsInFlight.remove(engine.id) },
                ),
            )
        }
    }

    /** Requests from every engine the cache events after the last one that it reported. */
    fun pollCacheEvents() {
        engines().forEach { engine ->
            val from = nextCacheEventSequences[engine.id] ?: 0
            val request = UpstreamClients.get(engine.address, "/engine/cache-events?from=$from")
            clients.forPolling().newCall(request).enqueue(
                callback(onText = { text -> reportCacheChanges(engine, text) }, onFailure = {}, onEnd = {}),
            )
        }
    }

    private fun engines(): List<UpstreamInfo> {
        val enginePools = currentConfiguration()?.pools.orEmpty().filter { it.kind == UpstreamKind.ENGINE }
        val poolNames = enginePools.map { it.name }.toSet()
        return servingLoop.upstreams.values.filter { it.pool in poolNames }
    }

    /** Reports the load in [text], or returns false if it can't be read. */
    private fun reportLoad(engine: UpstreamInfo, text: String): Boolean {
        val load = EngineMessageJson.read(EngineLoadMessage.serializer(), text).getOrNull() ?: return false
        incarnations.record(engine.id, load.incarnation)
        val report =
            LoadReport(
                role = EngineRole.parseOrNull(load.role) ?: EngineRole.MIXED,
                streams = load.openRequests,
                prefillTokens = load.prefillTokens,
                kvTokens = load.kvTokens,
                isAccepting = load.isAccepting,
                incarnation = load.incarnation,
            )
        servingLoop.put(ServingEvent.LoadReported(engine.id, report))
        return true
    }

    /** Reports the changes in [text], or returns false if they can't be read. */
    private fun reportCacheChanges(engine: UpstreamInfo, text: String): Boolean {
        val message = EngineMessageJson.read(CacheEventsMessage.serializer(), text).getOrNull() ?: return false
        val events = message.events
        val last = events.lastOrNull() ?: return true
        nextCacheEventSequences[engine.id] = last.sequence + 1
        val (stored, evicted) = events.partition { it.kind == "stored" }
        servingLoop.put(ServingEvent.CacheChanged(engine.id, stored.map { it.pieceHash }, evicted.map { it.pieceHash }))
        return true
    }

    /** @param onText handles the body of a success, or returns false if it can't be read */
    private fun callback(onText: (String) -> Boolean, onFailure: () -> Unit, onEnd: () -> Unit): Callback =
        object : Callback {
            override fun onFailure(call: Call, e: IOException) {
                onEnd()
                onFailure()
            }

            override fun onResponse(call: Call, response: Response) {
                onEnd()
                try {
                    val text = response.use { it.boundedText() }
                    if (!response.isSuccessful || !onText(text)) onFailure()
                } catch (_: IOException) {
                    onFailure()
                }
            }
        }
}
