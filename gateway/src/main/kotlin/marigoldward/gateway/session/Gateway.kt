package marigoldward.gateway.session

import marigoldward.core.routes.RequestKind
import marigoldward.core.routes.Route
import marigoldward.core.routes.RouteConfiguration
import marigoldward.core.routes.ServiceDeclaration
import marigoldward.gateway.Dialect
import marigoldward.gateway.caller.CallerExchange
import marigoldward.gateway.message.AnswerHead
import marigoldward.support.log.EventLog
import kotlin.random.Random

/** Finds the route of each request and starts its session. Used by the loop's thread only. */
internal class Gateway(private val context: ServingContext, private val random: Random) {
    /** The configuration in force, or null before the first. */
    var configuration: RouteConfiguration? = null

    /** Serves the request of [exchange]. */
    fun handle(exchange: CallerExchange) {
        val facts = context.dialect.readRequest(exchange.request.head)
        val current = configuration
        if (current == null) {
            refuse(exchange, facts, SessionEnd.NotRun("no_configuration", NO_CONFIGURATION_MILLIS))
            return
        }
        val host = exchange.request.head.headers.first("Host").orEmpty().substringBefore(':')
        val route = current.routeOrNull(host, exchange.request.head.path)
        when {
            route == null -> reject(exchange, facts, NOT_FOUND, "no_route", current)
            facts.requestId == null -> reject(exchange, facts, BAD_REQUEST, "no_request_id", current)
            else -> serve(exchange, facts, facts.requestId, route, current)
        }
    }

    private fun serve(
        exchange: CallerExchange,
        facts: Dialect.RequestFacts,
        id: String,
        route: Route,
        configuration: RouteConfiguration,
    ) {
        val service = configuration.services.getValue(route.serviceFor(random.nextDouble()).service)
        val allowedMillis = minOf(route.timeoutMillis, facts.deadlineMillis ?: Long.MAX_VALUE)
        val deadlineMillis = exchange.request.arrivedMillis + allowedMillis
        val request = SessionRequest(id, exchange, facts, route, service, deadlineMillis)
        session(request, route, service).start()
    }

    private fun session(request: SessionRequest, route: Route, service: ServiceDeclaration): Session =
        if (route.kind == RequestKind.STREAM || service.engine != null) {
            StreamSession(context, request)
        } else {
            PlainSession(context, request)
        }

    private fun refuse(exchange: CallerExchange, facts: Dialect.RequestFacts, end: SessionEnd) {
        log.info("refused") {
            field("request", facts.requestId)
            field("outcome", end.label)
        }
        SessionEnd.send(end, facts.requestId, exchange, context.dialect)
    }

    private fun reject(
        exchange: CallerExchange,
        facts: Dialect.RequestFacts,
        status: Int,
        reason: String,
        configuration: RouteConfiguration,
    ) {
        log.info("rejected") {
            field("request", facts.requestId)
            field("reason", reason)
            field("host", exchange.request.head.headers.first("Host"))
            field("target", exchange.request.head.target)
            field("routes_version", configuration.version)
        }
        exchange.answer(AnswerHead(status, context.dialect.ownHeaders(facts.requestId)), ByteArray(0))
    }

    private companion object {
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404

        /** When a caller should come again that met an entry before its first configuration, in milliseconds. */
        const val NO_CONFIGURATION_MILLIS = 500L
        val log = EventLog.fromName("gateway")
    }
}
