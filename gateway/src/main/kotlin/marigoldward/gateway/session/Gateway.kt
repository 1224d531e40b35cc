package marigoldward.gateway.session

import marigoldward.core.routes.RequestKind
import marigoldward.core.routes.Route
import marigoldward.core.routes.RouteConfiguration
import marigoldward.core.routes.ServiceDeclaration
import marigoldward.core.workspaces.Access
import marigoldward.gateway.Dialect
import marigoldward.gateway.GatewayMetrics
import marigoldward.gateway.caller.CallerExchange
import marigoldward.gateway.message.ResponseHead
import marigoldward.support.log.EventLog
import kotlin.random.Random

/**
 * Finds the route and the workspace of each request and starts its session. Confined to the event loop thread.
 *
 * @param isConfigurationConfirmed returns whether keys of a configuration may still be accepted
 */
internal class Gateway(
    private val context: SessionContext,
    private val random: Random,
    private val isConfigurationConfirmed: (RouteConfiguration) -> Boolean = { true },
) {
    /** The configuration in force, or null before the first one was applied. */
    var configuration: RouteConfiguration? = null
        set(value) {
            field = value
            context.shutdownAdmission.retainRoutes(value?.routes.orEmpty().mapTo(HashSet()) { it.name })
            context.declaredServices = value?.services?.keys.orEmpty()
        }

    /** When the requests in progress are ended, in milliseconds of monotonic time, or null if no shutdown has begun. */
    private var exitMillis: Long? = null
    private var acceptsEstimates = true

    /** Takes only requests that are expected to end before [exitMillis], from now on. */
    fun beginShutdown(exitMillis: Long) {
        this.exitMillis = exitMillis
    }

    /** Takes only requests that end before the exit for certain, from now on. Callers have other gateways to go to. */
    fun stopAcceptingEstimates() {
        acceptsEstimates = false
    }

    /** Ends the requests in progress. */
    fun endRequests() = context.endSessionsForExit()

    /** Serves the request of [exchange]. */
    fun handle(exchange: CallerExchange) {
        val metadata = context.dialect.readRequest(exchange.request.head)
        val current = configuration
        if (current == null || exchange.request.isBodyDropped) {
            val reason = if (current == null) "no_configuration" else "no_memory"
            sendNotRun(exchange, metadata, SessionEnd.NotRun(reason, RETRY_AFTER_MILLIS))
            return
        }
        val host = exchange.request.head.headers.first("Host").orEmpty().substringBefore(':')
        val route = current.routeOrNull(host, exchange.request.head.path)
        when {
            route == null -> rejectRequest(exchange, metadata, NOT_FOUND, "no_route", current)
            metadata.requestId == null -> rejectRequest(exchange, metadata, BAD_REQUEST, "no_request_id", current)
            else -> authorize(exchange, metadata, metadata.requestId, route, current)
        }
    }

    private fun authorize(
        exchange: CallerExchange,
        metadata: Dialect.RequestMetadata,
        id: String,
        route: Route,
        configuration: RouteConfiguration,
    ) {
        val access = Access.of(configuration.workspaces, route, metadata.apiKey)
        when {
            // A key that is unknown here may have been added by a configuration that this process has not received.
            access.dependsOnKeys && !isConfigurationConfirmed(configuration) -> {
                GatewayMetrics.keysNotConfirmed.inc()
                sendNotRun(exchange, metadata, SessionEnd.NotRun("configuration_not_confirmed", RETRY_AFTER_MILLIS))
            }
            access == Access.NoKey -> denyKey(exchange, metadata, "no_key", configuration)
            access == Access.UnknownKey -> denyKey(exchange, metadata, "unknown_key", configuration)
            else -> serve(exchange, metadata, id, route, configuration, access)
        }
    }

    private fun denyKey(
        exchange: CallerExchange,
        metadata: Dialect.RequestMetadata,
        reason: String,
        configuration: RouteConfiguration,
    ) {
        GatewayMetrics.recordKeyDenied(reason)
        rejectRequest(exchange, metadata, UNAUTHORIZED, reason, configuration)
    }

    private fun serve(
        exchange: CallerExchange,
        metadata: Dialect.RequestMetadata,
        id: String,
        route: Route,
        configuration: RouteConfiguration,
        access: Access,
    ) {
        val service = configuration.services.getValue(route.serviceFor(random.nextDouble()).service)
        val timeoutMillis = minOf(route.timeoutMillis, metadata.deadlineMillis ?: Long.MAX_VALUE)
        val deadlineMillis = exchange.request.arrivedMillis + timeoutMillis
        if (!isAdmitted(route, deadlineMillis)) {
            sendNotRun(exchange, metadata, SessionEnd.NotRun.BY_SHUTDOWN)
            return
        }
        val request = SessionRequest(id, exchange, metadata, route, service, deadlineMillis, access)
        newSession(request, route, service).start()
    }

    private fun isAdmitted(route: Route, deadlineMillis: Long): Boolean {
        val nowMillis = context.nowMillis()
        val untilExitMillis = (exitMillis ?: return true) - nowMillis
        val remainingMillis = deadlineMillis - nowMillis
        return context.shutdownAdmission
            .admits(route.name, remainingMillis, untilExitMillis, acceptsEstimates, nowMillis)
    }

    private fun newSession(request: SessionRequest, route: Route, service: ServiceDeclaration): Session =
        if (route.kind == RequestKind.STREAM || service.engine != null) {
            StreamSession(context, request)
        } else {
            PlainSession(context, request)
        }

    private fun sendNotRun(exchange: CallerExchange, metadata: Dialect.RequestMetadata, end: SessionEnd) {
        log.info("refused") {
            field("request", metadata.requestId)
            field("outcome", end.label)
        }
        SessionEnd.send(end, metadata.requestId, exchange, context.dialect)
    }

    private fun rejectRequest(
        exchange: CallerExchange,
        metadata: Dialect.RequestMetadata,
        status: Int,
        reason: String,
        configuration: RouteConfiguration,
    ) {
        log.info("rejected") {
            field("request", metadata.requestId)
            field("reason", reason)
            field("host", exchange.request.head.headers.first("Host"))
            field("target", exchange.request.head.target)
            field("routes_version", configuration.version)
        }
        exchange.respond(ResponseHead(status, context.dialect.gatewayResponseHeaders(metadata.requestId)), ByteArray(0))
    }

    private companion object {
        const val BAD_REQUEST = 400
        const val UNAUTHORIZED = 401
        const val NOT_FOUND = 404

        /**
         * The `Retry-After` of requests that the gateway has no configuration, no confirmation of it or no memory for, in
         * milliseconds. A question about the newest configuration has been answered or has failed within that time.
         */
        const val RETRY_AFTER_MILLIS = 500L
        val log = EventLog.fromName("gateway")
    }
}
