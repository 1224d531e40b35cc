package marigoldward.entry.upstream

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import marigoldward.core.config.SiteConfiguration
import marigoldward.core.model.EngineRole
import marigoldward.core.model.UpstreamId
import marigoldward.core.model.UpstreamKind
import marigoldward.core.serving.LoadReport
import marigoldward.core.serving.ServingEvent
import marigoldward.core.serving.UpstreamInfo
import marigoldward.entry.serving.ServingDuty
import okhttp3.Call
import okhttp3.Callback
import okhttp3.Response
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap

/** Asks all engines for their load and, less often, for changes of their prefix caches. */
internal class LoadPoller(
    private val clients: UpstreamClients,
    private val serving: ServingDuty,
    private val incarnations: IncarnationBook,
    private val configuration: () -> SiteConfiguration?,
) {
    private val json = Json { ignoreUnknownKeys = true }
    private val open = ConcurrentHashMap.newKeySet<UpstreamId>()
    private val nextEvent = ConcurrentHashMap<UpstreamId, Long>()

    /** Asks every engine that has answered the last question. */
    fun pollLoads() {
        engines().filter { open.add(it.id) }.forEach { engine ->
            val request = UpstreamClients.get(engine.address, "/engine/load")
            clients.forPolls().newCall(request).enqueue(
                answerTo(
                    onText = { text -> report(engine, text) },
                    onFailure = { serving.put(ServingEvent.LoadReportMissed(engine.id)) },
                    onEnd = { open.remove(engine.id) },
                ),
            )
        }
    }

    /** Asks every engine for the cache events since the last one. */
    fun pollCacheEvents() {
        engines().forEach { engine ->
            val from = nextEvent[engine.id] ?: 0
            val request = UpstreamClients.get(engine.address, "/engine/cache-events?from=$from")
            clients.forPolls().newCall(request).enqueue(
                answerTo(onText = { text -> cacheChanged(engine, text) }, onFailure = {}, onEnd = {}),
            )
        }
    }

    private fun engines(): List<UpstreamInfo> {
        val pools = configuration()?.pools.orEmpty().filter { it.kind == UpstreamKind.ENGINE }.map { it.name }.toSet()
        return serving.upstreams.values.filter { it.pool in pools }
    }

    private fun report(engine: UpstreamInfo, text: String) {
        val load = json.decodeFromString(EngineLoadMessage.serializer(), text)
        incarnations.note(engine.id, load.incarnation)
        val report =
            LoadReport(
                role = EngineRole.parseOrNull(load.role) ?: EngineRole.MIXED,
                streams = load.streams,
                prefillTokens = load.prefillTokens,
                kvTokens = load.kvTokens,
                isAccepting = load.isAccepting,
                incarnation = load.incarnation,
            )
        serving.put(ServingEvent.LoadReported(engine.id, report))
    }

    private fun cacheChanged(engine: UpstreamInfo, text: String) {
        val events = json.decodeFromString(CacheEventsMessage.serializer(), text).events
        val last = events.lastOrNull() ?: return
        nextEvent[engine.id] = last.sequence + 1
        val (stored, evicted) = events.partition { it.kind == "stored" }
        serving.put(ServingEvent.CacheChanged(engine.id, stored.map { it.piece }, evicted.map { it.piece }))
    }

    private fun answerTo(onText: (String) -> Unit, onFailure: () -> Unit, onEnd: () -> Unit): Callback =
        object : Callback {
            override fun onFailure(call: Call, e: IOException) {
                onEnd()
                onFailure()
            }

            override fun onResponse(call: Call, response: Response) {
                onEnd()
                try {
                    val text = response.use { it.body?.string().orEmpty() }
                    if (response.isSuccessful) onText(text) else onFailure()
                } catch (_: IOException) {
                    onFailure()
                } catch (_: SerializationException) {
                    onFailure()
                }
            }
        }
}
