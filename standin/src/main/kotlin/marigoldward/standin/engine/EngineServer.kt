package marigoldward.standin.engine

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import marigoldward.core.serving.PrefixPieces
import marigoldward.standin.AnswerText
import marigoldward.standin.ObservedWork
import marigoldward.support.http.StreamingUndertow
import marigoldward.support.log.EventLog
import marigoldward.support.time.MonotonicClock
import marigoldward.support.time.TimerService
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

/** An emulated engine with its HTTP interface. */
public class EngineServer internal constructor(
    /** The settings of the engine. */
    public val settings: EngineSettings,
    private val observed: ObservedWork,
    private val timer: TimerService,
) : AutoCloseable {
    private val scheduler = EngineScheduler(settings)
    private val cache = PrefixCache(settings.kvCapacityTokens)
    private val control = EngineControl(settings, scheduler, observed)
    private var server: Http4kServer? = null
    private var boundPort = settings.listen.port

    @Volatile
    private var faults = AnswerFaults.NONE

    @Volatile
    private var reportedLoad = currentLoad()

    @Volatile
    private var isReportPaused = false

    private val reportTimer = timer.subscribe(settings.reportLagMillis) {
        if (!isReportPaused) reportedLoad = currentLoad()
    }

    /** The address that the engine listens on, or listened on before it stopped. */
    public val address: InetSocketAddress get() = InetSocketAddress(settings.listen.hostString, boundPort)

    /** Starts listening; does nothing if the engine is listening. */
    @Synchronized
    public fun start() {
        if (server != null) return
        val at = InetSocketAddress(settings.listen.hostString, boundPort)
        val started = StreamingUndertow.at(at, MAX_BODY_BYTES, WORKER_THREADS).toServer(handler()).start()
        boundPort = started.port()
        server = started
    }

    /** Aborts all requests and restarts with an empty prefix cache after [EngineSettings.restartMillis]. */
    public fun crash() {
        log.info("engine_crashed") { field("engine", settings.id) }
        stopListening()
        scheduler.crash()
        cache.clear()
        control.restart()
        timer.subscribeOnce(settings.restartMillis) { Thread(::start, "restart-${settings.id}").start() }
    }

    /** Aborts all requests and stops listening until the next [start]. The prefix cache and the incarnation stay. */
    public fun kill() {
        stopListening()
        scheduler.crash()
    }

    /** Suspends or resumes the engine, including its load reports. */
    public fun setFrozen(isFrozen: Boolean) {
        scheduler.setFrozen(isFrozen)
        isReportPaused = isFrozen
    }

    /** Makes the engine [factor] times slower. */
    public fun setSlowdownFactor(factor: Long) {
        scheduler.setSlowdownFactor(factor)
    }

    /** Sets the faults that the engine puts into its answers. */
    public fun setAnswerFaults(hasWrongRequestId: Boolean, hasRepeatedTokens: Boolean) {
        faults = AnswerFaults(hasWrongRequestId, hasRepeatedTokens)
    }

    override fun close() {
        reportTimer.close()
        stopListening()
        scheduler.crash()
    }

    @Synchronized
    private fun stopListening() {
        server?.stop()
        server = null
    }

    private fun handler(): HttpHandler = { request ->
        scheduler.awaitNotFrozen()
        try {
            handle(request)
        } catch (failure: SerializationException) {
            Response(Status.BAD_REQUEST).body("${failure.message}\n")
        } catch (failure: NoSuchElementException) {
            Response(Status.BAD_REQUEST).body("${failure.message}\n")
        } catch (_: IOException) {
            Response(Status.SERVICE_UNAVAILABLE).body(Body(UnreadableBody()))
        }
    }

    private fun handle(request: Request): Response {
        val path = request.uri.path
        return when {
            path == "/engine/load" -> json(EngineLoad.serializer(), reportedLoad)
            path == "/engine/state" -> json(EngineStateReply.serializer(), control.state(MonotonicClock.nowMillis()))
            path == "/engine/cache-events" -> cacheEvents(request)
            request.method != Method.POST -> Response(Status.METHOD_NOT_ALLOWED)
            path == "/engine/commands" -> executeCommand(request)
            path == "/engine/prefill" -> prefill(request)
            path == "/v1/chat/completions" -> complete(request, isChat = true)
            path == "/v1/completions" -> complete(request, isChat = false)
            else -> Response(Status.NOT_FOUND)
        }
    }

    private fun cacheEvents(request: Request): Response {
        val first = request.query("from")?.toLongOrNull() ?: 0
        return json(CacheEventsReply.serializer(), CacheEventsReply(cache.eventsFrom(first)))
    }

    private fun executeCommand(request: Request): Response {
        val command = Json.decodeFromString(EngineCommandRequest.serializer(), request.bodyString())
        val reply = control.execute(command, MonotonicClock.nowMillis())
        val status = if (reply.result == "done" || reply.result == "changing") Status.OK else Status.CONFLICT
        return json(EngineCommandReply.serializer(), reply, status)
    }

    private fun prefill(request: Request): Response {
        if (!control.isAccepting(MonotonicClock.nowMillis())) return notAccepting()
        val completion = CompletionRequest.parse(request.bodyString(), request.query("api") == "chat")
        val requestId = request.header("X-Request-Id").orEmpty()
        observed.recordStart(requestId, settings.id.text)
        crashIfMarked(completion)
        val running = scheduler.acquireSlot(priorityOf(request), completion.prompt.length.toLong())
        try {
            scheduler.prefill(running, uncachedTokens(completion))
        } finally {
            scheduler.releaseSlot(running)
        }
        val handle = "${settings.id}/${AnswerText.promptHash(completion.prompt)}"
        return json(PrefillReply.serializer(), PrefillReply(handle, requestId))
    }

    private fun complete(request: Request, isChat: Boolean): Response {
        if (!control.isAccepting(MonotonicClock.nowMillis())) return notAccepting()
        val completion = CompletionRequest.parse(request.bodyString(), isChat)
        val requestId = request.header("X-Request-Id").orEmpty()
        observed.recordStart(requestId, settings.id.text)
        crashIfMarked(completion)
        val kvTokens = PrefixPieces.estimateTokens(completion.prompt.length) + completion.maxTokens
        val running = scheduler.acquireSlot(priorityOf(request), kvTokens)
        val source = SlotTokenSource(running, completion)
        return Response(Status.OK)
            .header("Content-Type", "text/event-stream")
            .header("X-Request-Id", if (faults.hasWrongRequestId) "another-request" else requestId)
            .body(Body(TokenStream(completion, requestId, source)))
    }

    private fun crashIfMarked(completion: CompletionRequest) {
        if (CRASH_MARKER !in completion.prompt) return
        Thread(::crash, "crash-${settings.id}").start()
        throw IOException("engine ${settings.id} crashes")
    }

    /** Returns how many prompt tokens the prefix cache lacks, at least 1, and adds the prompt to the cache. */
    private fun uncachedTokens(completion: CompletionRequest): Long {
        val cached = cache.lookUpAndStore(PrefixPieces.hashes(completion.prompt)) * PrefixPieces.TOKENS_PER_PIECE
        return maxOf(1, PrefixPieces.estimateTokens(completion.prompt.length) - cached)
    }

    private fun currentLoad(): EngineLoad = EngineLoad(
        role = control.currentRole.label,
        streams = scheduler.runningCount + scheduler.waitingCount,
        prefillTokens = scheduler.waitingPrefillTokens,
        kvTokens = scheduler.kvTokensUsed,
        isAccepting = control.isAccepting(MonotonicClock.nowMillis()),
        incarnation = control.incarnation(),
        prefilledTotal = scheduler.prefilledTotal,
        decodedTotal = scheduler.decodedTotal,
    )

    private fun notAccepting(): Response =
        Response(Status.SERVICE_UNAVAILABLE).header("X-Not-Run", "true").body("engine takes no new work\n")

    private fun priorityOf(request: Request): Int = request.header("X-Priority")?.toIntOrNull() ?: 0

    private fun <T> json(serializer: KSerializer<T>, value: T, status: Status = Status.OK): Response = Response(status)
        .header("Content-Type", "application/json")
        .body(Json.encodeToString(serializer, value))

    /** Times the tokens of a request that holds a slot, and releases the slot when it is closed. */
    private inner class SlotTokenSource(
        private val running: EngineScheduler.RunningRequest,
        private val completion: CompletionRequest,
    ) : TokenStream.TokenSource {
        private var isPrefilled = completion.kvHandle != null
        private var isClosed = false
        private var isComplete = false

        override val faults: AnswerFaults get() = this@EngineServer.faults

        override fun awaitToken() {
            if (!isPrefilled) {
                scheduler.prefill(running, uncachedTokens(completion))
                isPrefilled = true
            }
            scheduler.decode(running)
        }

        override fun markComplete() {
            isComplete = true
        }

        override fun close() {
            if (isClosed) return
            isClosed = true
            if (!isComplete) observed.recordCancellation()
            scheduler.releaseSlot(running)
        }
    }

    /** A body whose read fails, so that the connection breaks. */
    private class UnreadableBody : InputStream() {
        override fun read(): Int = throw IOException("the engine crashed")
    }

    /** Constants of the emulation. */
    public companion object {
        /** Text that crashes the engine if a prompt contains it. */
        public const val CRASH_MARKER: String = "CRASH-THE-ENGINE"

        private const val MAX_BODY_BYTES = 67_108_864L
        private const val WORKER_THREADS = 128
        private val log = EventLog.fromName("standin")
    }
}
