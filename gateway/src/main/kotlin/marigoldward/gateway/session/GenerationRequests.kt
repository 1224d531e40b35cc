package marigoldward.gateway.session

import marigoldward.core.dispatch.GenerationRequest

/**
 * Returns what the dispatcher has to know of [request], which has [remainingMillis] left, or null if the request has no
 * prompt or its service no engines.
 */
internal fun generationRequestOrNull(
    context: SessionContext,
    request: SessionRequest,
    remainingMillis: Long,
): GenerationRequest? {
    val prompt = request.metadata.prompt ?: return null
    val engine = request.service.engine ?: return null
    val sinceArrivalMillis = context.nowMillis() - request.arrivedMillis
    val firstEventMillis = context.dialect.firstEventTimeoutMillis(request.route) - sinceArrivalMillis
    return GenerationRequest(
        service = request.serviceName,
        engine = engine,
        prompt = prompt,
        targetMillis = maxOf(1, request.route.targetLatencyMillis - sinceArrivalMillis),
        remainingMillis = minOf(remainingMillis, firstEventMillis),
        maxPauseMillis = request.route.targetGapMillis.takeIf { it > 0 } ?: Long.MAX_VALUE,
        bodyBytes = request.body.size,
    )
}
