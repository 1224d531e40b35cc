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
import marigoldward.entry.serving.ServingDuty
import marigoldward.entry.serving.ServingDutyEvent
import marigoldward.entry.upstream.CrashCheck
import marigoldward.entry.upstream.EngineClient
import marigoldward.entry.upstream.ServiceClient
import okhttp3.Headers
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status

/** The callers' HTTP interface: completions, the list of models, and plain services by path. */
internal class CallerApi(
    self: InstanceId,
    private val serving: ServingDuty,
    private val engines: EngineClient,
    private val services: ServiceClient,
    private val crashes: CrashCheck,
    private val guard: IdempotencyGuard,
    private val demand: DemandCounter,
    private val configuration: () -> SiteConfiguration?,
) {
    private val ids = RequestIds(self)

    /** Answers one request; the thread is the request's until the answer is sent. */
    fun handle(request: Request): Response {
        val current = configuration()
            ?: return Outcomes.notRun(UNAVAILABLE, "not_configured", "this instance has no configuration yet", null)
        val path = request.uri.path
        val kind = ApiKind.fromPathOrNull(path)
        val service = current.poolForPathOrNull(path)
        return when {
            kind != null && request.method != Method.POST -> Response(Status.METHOD_NOT_ALLOWED)
            kind != null -> complete(request, kind, current)
            path == "/v1/models" && request.method == Method.GET -> models(current)
            service != null -> callService(request, service, current)
            else -> Outcomes.invalid(CallerProblem(NOT_FOUND, "path", "path \"$path\" belongs to no service"))
        }
    }

    private fun complete(request: Request, kind: ApiKind, current: SiteConfiguration): Response {
        val arrived = when (val read = ArrivedCall.read(request, current)) {
            is Outcome.Success -> read.value
            is Outcome.Failure -> return Outcomes.invalid(read.error)
        }
        val text = arrived.body.toString(Charsets.UTF_8)
        val call = when (val parsed = CompletionCall.parse(kind, text, current.limits.maxOutputTokens)) {
            is Outcome.Success -> parsed.value
            is Outcome.Failure -> return Outcomes.invalid(parsed.error)
        }
        val pool = current.poolForModelOrNull(call.model)
            ?: return Outcomes.invalid(CallerProblem(NOT_FOUND, "model", "model \"${call.model}\" does not exist"))
        val spec =
            RequestSpec(
                id = ids.next(),
                pool = pool.name,
                priority = arrived.headers.priority,
                caller = arrived.headers.caller,
                promptTokens = PrefixPieces.estimateTokens(call.prompt.length),
                pieceHashes = PrefixPieces.hashes(call.prompt),
                outputTokens = call.maxTokens,
                arrivedMillis = arrived.arrivedMillis,
                deadlineMillis = arrived.arrivedMillis + current.limits.requestTimeoutMillis,
                isRepeatable = true,
                fingerprint = Fingerprints.of(kind.path, arrived.body),
            )
        demand.arrived(spec)
        return serve(call, spec)
    }

    private fun serve(call: CompletionCall, spec: RequestSpec): Response {
        val channel = RequestChannel()
        if (!serving.offer(ServingDutyEvent.Opened(spec, channel))) {
            return Outcomes.notRun(UNAVAILABLE, "overloaded", "too many requests are waiting", spec.id)
        }
        val session = CompletionSession(call, spec, channel, serving, engines, crashes, demand)
        return CompletionServing(call, spec).serve(session)
    }

    private fun callService(request: Request, pool: UpstreamPool, current: SiteConfiguration): Response {
        val arrived = when (val read = ArrivedCall.read(request, current)) {
            is Outcome.Success -> read.value
            is Outcome.Failure -> return Outcomes.invalid(read.error)
        }
        val isRepeatable = request.method in REPEATABLE
        val spec =
            RequestSpec(
                id = ids.next(),
                pool = pool.name,
                priority = arrived.headers.priority,
                caller = arrived.headers.caller,
                promptTokens = 0,
                pieceHashes = emptyList(),
                outputTokens = 0,
                arrivedMillis = arrived.arrivedMillis,
                deadlineMillis = arrived.arrivedMillis + current.limits.requestTimeoutMillis,
                isRepeatable = isRepeatable,
                fingerprint = Fingerprints.of("${request.method} ${request.uri}", arrived.body),
            )
        val call =
            ServiceClient.ServiceCall(
                id = spec.id,
                method = request.method.name,
                pathAndQuery = request.uri.toString(),
                headers = passedOn(request, arrived.headers),
                contentType = request.header("Content-Type"),
                body = arrived.body,
                isRepeatable = isRepeatable,
                timeoutMillis = current.limits.requestTimeoutMillis,
            )
        val key = arrived.headers.idempotencyKey
            ?.takeIf { !isRepeatable }
            ?.let { IdempotencyKey(arrived.headers.caller, it) }
        return ServiceSession(call, spec, key, RequestChannel(), serving, services, guard).serve()
    }

    private fun passedOn(request: Request, headers: CallerHeaders): Headers {
        val builder = Headers.Builder()
        request.headers
            .filter { (name, _) -> name.lowercase() in PASSED_ON }
            .forEach { (name, value) -> builder.add(name, value.orEmpty()) }
        return builder.set("X-Caller", headers.caller.text).build()
    }

    private fun models(current: SiteConfiguration): Response {
        val json =
            buildJsonObject {
                put("object", "list")
                putJsonArray("data") {
                    current.pools.mapNotNull { it.model }.forEach { model ->
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
        const val UNAVAILABLE = 503
        val REPEATABLE = setOf(Method.GET, Method.HEAD, Method.OPTIONS, Method.PUT, Method.DELETE)
        val PASSED_ON = setOf("accept", "accept-language", "authorization", "content-type", "if-match", "if-none-match")
    }
}
