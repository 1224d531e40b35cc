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
import java.net.InetSocketAddress

/** One emulated engine behind its HTTP interface. */
public class EngineServer internal constructor(
    /** Its settings. */
    public val settings: EngineSettings,
    private val observed: ObservedWork,
    private val timer: TimerService,
) : AutoCloseable {
    private val model = EngineModel(settings)
    private val cache = PrefixCache(settings.kvCapacityTokens)
    private val control = EngineControl(settings, model, observed)
    private var server: Http4kServer? = null
    private var boundPort = settings.listen.port

    @Volatile
    private var faults = AnswerFaults.NONE

    @Volatile
    private var reported = load()

    @Volatile
    private var isReportingStopped = false

    private val reporting = timer.subscribe(settings.reportLagMillis) { if (!isReportingStopped) reported = load() }

    /** The address that it listens at, or last listened at. */
    public val address: InetSocketAddress get() = InetSocketAddress(settings.listen.hostString, boundPort)

    /** Starts to listen. */
    @Synchronized
    public fun start() {
        if (server != null) return
        val at = InetSocketAddress(settings.listen.hostString, boundPort)
        val started = StreamingUndertow.at(at, MAX_BODY_BYTES, WORKER_THREADS).toServer(handler()).start()
        boundPort = started.port()
        server = started
    }

    /** Ends all work at once and comes back after the restart time, with an empty cache. */
    public fun crash() {
        log.info("engine_crashed") { field("engine", settings.id) }
        stopListening()
        model.crash()
        cache.clear()
        control.restart()
        timer.subscribeOnce(settings.restartMillis) { Thread(::start, "restart-${settings.id}").start() }
    }

    /** Ends all work at once and for good. */
    public fun kill() {
        stopListening()
        model.crash()
    }

    /** Stops or resumes the engine's time. */
    public fun setFrozen(frozen: Boolean) {
        model.setFrozen(frozen)
        isReportingStopped = frozen
    }

    /** Makes the engine [factor] times as slow. */
    public fun setSlowness(factor: Long) {
        model.setSlowness(factor)
    }

    /** Changes what is wrong with answers. */
    public fun setAnswerFaults(isCrossed: Boolean, isDoubled: Boolean) {
        faults = AnswerFaults(isCrossed, isDoubled)
    }

    override fun close() {
        reporting.close()
        stopListening()
        model.crash()
    }

    @Synchronized
    private fun stopListening() {
        server?.stop()
        server = null
    }

    private fun handler(): HttpHandler = { request ->
        model.awaitThaw()
        try {
            answer(request)
        } catch (failure: SerializationException) {
            Response(Status.BAD_REQUEST).body("${failure.message}\n")
        } catch (failure: NoSuchElementException) {
            Response(Status.BAD_REQUEST).body("${failure.message}\n")
        } catch (_: IOException) {
            Response(Status.SERVICE_UNAVAILABLE).body(Body(BrokenBody()))
        }
    }

    private fun answer(request: Request): Response {
        val path = request.uri.path
        return when {
            path == "/engine/load" -> json(EngineLoad.serializer(), reported)
            path == "/engine/state" -> json(EngineStateReply.serializer(), control.state(MonotonicClock.nowMillis()))
            path == "/engine/cache-events" -> cacheEvents(request)
            request.method != Method.POST -> Response(Status.METHOD_NOT_ALLOWED)
            path == "/engine/commands" -> command(request)
            path == "/engine/prefill" -> prefillOnly(request)
            path == "/v1/chat/completions" -> complete(request, isChat = true)
            path == "/v1/completions" -> complete(request, isChat = false)
            else -> Response(Status.NOT_FOUND)
        }
    }

    private fun cacheEvents(request: Request): Response {
        val first = request.query("from")?.toLongOrNull() ?: 0
        return json(CacheEventsReply.serializer(), CacheEventsReply(cache.eventsFrom(first)))
    }

    private fun command(request: Request): Response {
        val command = Json.decodeFromString(EngineCommandRequest.serializer(), request.bodyString())
        val reply = control.command(command, MonotonicClock.nowMillis())
        val status = if (reply.result == "done" || reply.result == "changing") Status.OK else Status.CONFLICT
        return json(EngineCommandReply.serializer(), reply, status)
    }

    private fun prefillOnly(request: Request): Response {
        if (!control.isAccepting(MonotonicClock.nowMillis())) return notAccepting()
        val completion = CompletionRequest.parse(request.bodyString(), request.query("api") == "chat")
        val requestId = request.header("X-Request-Id").orEmpty()
        observed.started(requestId, settings.id.text)
        crashIfTold(completion)
        val running = model.enter(rankOf(request), completion.prompt.length.toLong())
        try {
            model.prefill(running, uncachedTokens(completion))
        } finally {
            model.leave(running)
        }
        val handle = "${settings.id}/${AnswerText.promptHash(completion.prompt)}"
        return json(PrefillReply.serializer(), PrefillReply(handle, requestId))
    }

    private fun complete(request: Request, isChat: Boolean): Response {
        if (!control.isAccepting(MonotonicClock.nowMillis())) return notAccepting()
        val completion = CompletionRequest.parse(request.bodyString(), isChat)
        val requestId = request.header("X-Request-Id").orEmpty()
        observed.started(requestId, settings.id.text)
        crashIfTold(completion)
        val kvTokens = PrefixPieces.estimateTokens(completion.prompt.length) + completion.maxTokens
        val running = model.enter(rankOf(request), kvTokens)
        val source = RunningSource(running, completion)
        return Response(Status.OK)
            .header("Content-Type", "text/event-stream")
            .header("X-Request-Id", if (faults.isCrossed) "another-request" else requestId)
            .body(Body(TokenStream(completion, requestId, source)))
    }

    private fun crashIfTold(completion: CompletionRequest) {
        if (CRASH_MARK !in completion.prompt) return
        Thread(::crash, "crash-${settings.id}").start()
        throw IOException("engine ${settings.id} crashes")
    }

    private fun uncachedTokens(completion: CompletionRequest): Long {
        val cached = cache.use(PrefixPieces.hashes(completion.prompt)) * PrefixPieces.TOKENS_PER_PIECE
        return maxOf(1, PrefixPieces.estimateTokens(completion.prompt.length) - cached)
    }

    private fun load(): EngineLoad = EngineLoad(
        role = control.currentRole.label,
        streams = model.runningCount + model.waitingCount,
        prefillTokens = model.waitingPrefillTokens,
        kvTokens = model.kvTokensUsed,
        isAccepting = control.isAccepting(MonotonicClock.nowMillis()),
        incarnation = control.incarnation(),
        prefilledTotal = model.prefilledTotal,
        decodedTotal = model.decodedTotal,
    )

    private fun notAccepting(): Response =
        Response(Status.SERVICE_UNAVAILABLE).header("X-Not-Run", "true").body("engine takes no new work\n")

    private fun rankOf(request: Request): Int = request.header("X-Priority")?.toIntOrNull() ?: 0

    private fun <T> json(serializer: KSerializer<T>, value: T, status: Status = Status.OK): Response = Response(status)
        .header("Content-Type", "application/json")
        .body(Json.encodeToString(serializer, value))

    /** The tokens of a request that holds a slot. */
    private inner class RunningSource(
        private val running: EngineModel.Running,
        private val completion: CompletionRequest,
    ) : TokenStream.TokenSource {
        private var isPrefilled = completion.kvHandle != null
        private var isClosed = false
        private var isAnswered = false

        override val faults: AnswerFaults get() = this@EngineServer.faults

        override fun awaitToken() {
            if (!isPrefilled) {
                model.prefill(running, uncachedTokens(completion))
                isPrefilled = true
            }
            model.decode(running)
        }

        override fun answered() {
            isAnswered = true
        }

        override fun close() {
            if (isClosed) return
            isClosed = true
            if (!isAnswered) observed.cancelled()
            model.leave(running)
        }
    }

    /** A body that can't be read, so that the connection breaks. */
    private class BrokenBody : java.io.InputStream() {
        override fun read(): Int = throw IOException("the engine crashed")
    }

    /** Settings of the emulation. */
    public companion object {
        /** A prompt with this text crashes the engine that runs it. */
        public const val CRASH_MARK: String = "CRASH-THE-ENGINE"

        private const val MAX_BODY_BYTES = 67_108_864L
        private const val WORKER_THREADS = 128
        private val log = EventLog.fromName("standin")
    }
}
