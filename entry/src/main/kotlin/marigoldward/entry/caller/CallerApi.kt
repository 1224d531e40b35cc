package marigoldward.entry.caller

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import marigoldward.core.Outcome
import marigoldward.core.config.SiteConfiguration
import marigoldward.core.config.UpstreamPool
import marigoldward.core.control.IdempotencyKey
import marigoldward.core.model.InstanceId
import marigoldward.core.serving.PrefixPieces
import marigoldward.core.serving.RequestSpec
import marigoldward.entry.operator.DemandCounter
import marigoldward.entry.serving.RequestChannel
import marigoldward.entry.serving.ServingLoop
import marigoldward.entry.serving.ServingLoopEvent
import marigoldward.entry.upstream.CrashDetector
import marigoldward.entry.upstream.EngineClient
import marigoldward.entry.upstream.ServiceClient
import okhttp3.Headers
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status

/** The HTTP interface for callers: completions, the list of models, and services by path. */
internal class CallerApi(
    self: InstanceId,
    private val servingLoop: ServingLoop,
    private val engineClient: EngineClient,
    private val serviceClient: ServiceClient,
    private val crashDetector: CrashDetector,
    private val idempotencyGuard: IdempotencyGuard,
    private val demandCounter: DemandCounter,
    private val currentConfiguration: () -> SiteConfiguration?,
) {
    private val requestIds = RequestIdGenerator(self)

    /** Serves [request] on the calling thread; waits until the response starts. */
    fun handle(request: Request): Response {
        val configuration = currentConfiguration()
            ?: return ErrorResponses.notRun(
                SERVICE_UNAVAILABLE,
                "not_configured",
                "this instance has no configuration yet",
                null,
            )
        val path = request.uri.path
        val api = CompletionApi.fromPathOrNull(path)
        val servicePool = configuration.poolForPathOrNull(path)
        return when {
            api != null && request.method != Method.POST -> Response(Status.METHOD_NOT_ALLOWED)
            api != null -> serveCompletion(request, api, configuration)
            path == "/v1/models" && request.method == Method.GET -> listModels(configuration)
            servicePool != null -> serveServiceCall(request, servicePool, configuration)
            else -> ErrorResponses.invalid(RequestProblem(NOT_FOUND, "path", "path \"$path\" belongs to no service"))
        }
    }

    private fun serveCompletion(request: Request, api: CompletionApi, configuration: SiteConfiguration): Response {
        val received = when (val read = ReceivedCall.read(request, configuration)) {
            is Outcome.Success -> read.value
            is Outcome.Failure -> return ErrorResponses.invalid(read.error)
        }
        val bodyText = received.body.toString(Charsets.UTF_8)
        val call = when (val parsed = CompletionCall.parse(api, bodyText, configuration.limits.maxOutputTokens)) {
            is Outcome.Success -> parsed.value
            is Outcome.Failure -> return ErrorResponses.invalid(parsed.error)
        }
        val pool = configuration.poolForModelOrNull(call.model)
            ?: return ErrorResponses.invalid(
                RequestProblem(NOT_FOUND, "model", "model \"${call.model}\" does not exist"),
            )
        val spec =
            RequestSpec(
                id = requestIds.next(),
                pool = pool.name,
                priority = received.headers.priority,
                caller = received.headers.caller,
                promptTokens = PrefixPieces.estimateTokens(call.prompt.length),
                pieceHashes = PrefixPieces.hashes(call.prompt),
                outputTokens = call.maxTokens,
                arrivedMillis = received.arrivedMillis,
                deadlineMillis = received.arrivedMillis + configuration.limits.requestTimeoutMillis,
                isRepeatable = true,
                fingerprint = Fingerprints.of(api.path, received.body),
            )
        demandCounter.recordArrival(spec)
        return runCompletion(call, spec)
    }

    private fun runCompletion(call: CompletionCall, spec: RequestSpec): Response {
        val channel = RequestChannel()
        if (!servingLoop.offer(ServingLoopEvent.RequestOpened(spec, channel))) {
            return ErrorResponses.notRun(SERVICE_UNAVAILABLE, "overloaded", "too many requests are waiting", spec.id)
        }
        val session = CompletionSession(call, spec, channel, servingLoop, engineClient, crashDetector, demandCounter)
        return CompletionResponder(call, spec).respond(session)
    }

    private fun serveServiceCall(request: Request, pool: UpstreamPool, configuration: SiteConfiguration): Response {
        val received = when (val read = ReceivedCall.read(request, configuration)) {
            is Outcome.Success -> read.value
            is Outcome.Failure -> return ErrorResponses.invalid(read.error)
        }
        val isRepeatable = request.method in IDEMPOTENT_METHODS
        val spec =
            RequestSpec(
                id = requestIds.next(),
                pool = pool.name,
                priority = received.headers.priority,
                caller = received.headers.caller,
                promptTokens = 0,
                pieceHashes = emptyList(),
                outputTokens = 0,
                arrivedMillis = received.arrivedMillis,
                deadlineMillis = received.arrivedMillis + configuration.limits.requestTimeoutMillis,
                isRepeatable = isRepeatable,
                fingerprint = Fingerprints.of("${request.method} ${request.uri}", received.body),
            )
        val call =
            ServiceClient.ServiceCall(
                id = spec.id,
                method = request.method.name,
                pathAndQuery = request.uri.toString(),
                headers = forwardedHeaders(request, received.headers),
                contentType = request.header("Content-Type"),
                body = received.body,
                isRepeatable = isRepeatable,
                timeoutMillis = configuration.limits.requestTimeoutMillis,
            )
        val key = received.headers.idempotencyKey
            ?.takeIf { !isRepeatable }
            ?.let { IdempotencyKey(received.headers.caller, it) }
        return ServiceSession(call, spec, key, RequestChannel(), servingLoop, serviceClient, idempotencyGuard).serve()
    }

    private fun forwardedHeaders(request: Request, headers: CallerHeaders): Headers {
        val builder = Headers.Builder()
        request.headers
            .filter { (name, _) -> name.lowercase() in FORWARDED_HEADERS }
            .forEach { (name, value) -> builder.add(name, value.orEmpty()) }
        return builder.set("X-Caller", headers.caller.text).build()
    }

    private fun listModels(configuration: SiteConfiguration): Response {
        val json =
            buildJsonObject {
                put("object", "list")
                putJsonArray("data") {
                    configuration.pools.mapNotNull { it.model }.forEach { model ->
                        addJsonObject {
                            put("id", model)
                            put("object", "model")
                        }
                    }
                }
            }
        return Response(Status.OK)
            .header("Content-Type", "application/json")
            .body(Json.encodeToString(JsonObject.serializer(), json))
    }

    private companion object {
        const val NOT_FOUND = 404
        const val SERVICE_UNAVAILABLE = 503
        val IDEMPOTENT_METHODS = setOf(Method.GET, Method.HEAD, Method.OPTIONS, Method.PUT, Method.DELETE)
        val FORWARDED_HEADERS =
            setOf("accept", "accept-language", "authorization", "content-type", "if-match", "if-none-match")
    }
}
