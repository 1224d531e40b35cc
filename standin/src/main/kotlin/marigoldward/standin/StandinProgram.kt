package marigoldward.standin

import kotlinx.serialization.json.Json
import marigoldward.standin.engine.EngineServer
import marigoldward.standin.platform.PlatformList
import marigoldward.standin.service.ServiceServer
import marigoldward.support.http.StreamingUndertow
import marigoldward.support.settings.toText
import marigoldward.support.time.TimerService
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.server.Http4kServer

/**
 * Emulates everything outside the system in one process: engines, plain services and the platform's list of instances.
 *
 * `POST /faults?upstream=ID&kind=KIND` injects a fault; `GET /observed` returns the [ObservedWork.Report].
 */
public class StandinProgram private constructor(private val settings: StandinSettings) : AutoCloseable {
    private val observed = ObservedWork.create()
    private val timer = TimerService.start()
    private val engines = settings.engines.map { EngineServer(it, observed, timer) }
    private val services = settings.services.map { ServiceServer(it, observed) }
    private var leavingIds = emptySet<String>()
    private var server: Http4kServer? = null

    @Volatile
    private var publishedList = PlatformList(emptyList())

    /** The port that serves the platform's list, the faults and the observed work. */
    public val port: Int get() = checkNotNull(server) { "the stand-in is not started" }.port()

    override fun close() {
        timer.close()
        server?.stop()
        engines.forEach(EngineServer::close)
        services.forEach(ServiceServer::close)
    }

    private fun start() {
        engines.forEach(EngineServer::start)
        services.forEach(ServiceServer::start)
        publishedList = currentList()
        server = StreamingUndertow.at(settings.listen, MAX_BODY_BYTES, WORKER_THREADS).toServer(handler()).start()
    }

    private fun handler(): HttpHandler = { request ->
        when {
            request.uri.path == "/v1/instances" -> json(Json.encodeToString(PlatformList.serializer(), publishedList))
            request.uri.path == "/observed" ->
                json(Json.encodeToString(ObservedWork.Report.serializer(), observed.report()))
            request.uri.path == "/faults" && request.method == Method.POST -> injectFault(request)
            else -> Response(Status.NOT_FOUND)
        }
    }

    private fun injectFault(request: Request): Response {
        val id = request.query("upstream").orEmpty()
        val kind = request.query("kind").orEmpty()
        val engine = engines.firstOrNull { it.settings.id.text == id }
        val service = services.firstOrNull { it.settings.id.text == id }
        val isKnown = when {
            kind == "withdraw" -> setLeaving(id, true)
            kind == "rejoin" -> setLeaving(id, false)
            engine != null -> injectEngineFault(engine, kind)
            service != null -> injectServiceFault(service, kind)
            else -> false
        }
        if (!isKnown) return Response(Status.BAD_REQUEST).body("fault \"$kind\" of \"$id\" is not known\n")
        return Response(Status.OK).body("done\n")
    }

    private fun injectEngineFault(engine: EngineServer, kind: String): Boolean {
        when (kind) {
            "crash" -> engine.crash()
            "kill" -> engine.kill()
            "start" -> engine.start()
            "freeze" -> engine.setFrozen(true)
            "thaw" -> engine.setFrozen(false)
            "slow" -> engine.setSlowdownFactor(SLOWDOWN_FACTOR)
            "normal" -> {
                engine.setSlowdownFactor(1)
                engine.setAnswerFaults(hasWrongRequestId = false, hasRepeatedTokens = false)
            }
            "crossed" -> engine.setAnswerFaults(hasWrongRequestId = true, hasRepeatedTokens = false)
            "doubled" -> engine.setAnswerFaults(hasWrongRequestId = false, hasRepeatedTokens = true)
            else -> return false
        }
        return true
    }

    private fun injectServiceFault(service: ServiceServer, kind: String): Boolean {
        when (kind) {
            "kill" -> service.close()
            "start" -> service.start()
            "break-after-run" -> service.setBreakingAfterBooking(true)
            "normal" -> service.setBreakingAfterBooking(false)
            else -> return false
        }
        return true
    }

    /** Marks an instance as leaving or live; the published list follows after the configured delay. */
    @Synchronized
    private fun setLeaving(id: String, isLeaving: Boolean): Boolean {
        leavingIds = if (isLeaving) leavingIds + id else leavingIds - id
        timer.subscribeOnce(settings.listLagMillis) { publishedList = currentList() }
        return true
    }

    @Synchronized
    private fun currentList(): PlatformList {
        val listedEngines = engines.map {
            listedInstance(it.settings.id.text, it.settings.pool.text, it.settings.dataCentre.text, it.address.toText())
        }
        val listedServices = services.map {
            listedInstance(it.settings.id.text, it.settings.pool.text, it.settings.dataCentre.text, it.address.toText())
        }
        return PlatformList(listedEngines + listedServices)
    }

    private fun listedInstance(
        id: String,
        pool: String,
        dataCentre: String,
        address: String,
    ): PlatformList.ListedInstance {
        val state = if (id in leavingIds) "leaving" else "live"
        return PlatformList.ListedInstance(id, pool, dataCentre, address, state)
    }

    private fun json(text: String): Response = Response(Status.OK).header("Content-Type", "application/json").body(text)

    /** Starts the emulation. */
    public companion object {
        private const val MAX_BODY_BYTES = 65_536L
        private const val WORKER_THREADS = 8
        private const val SLOWDOWN_FACTOR = 5L

        /** Starts the engines and services that [settings] name, then the list of instances. */
        public fun start(settings: StandinSettings): StandinProgram = StandinProgram(settings).apply { start() }
    }
}
