package marigoldward.gateway

import marigoldward.core.Outcome
import marigoldward.core.dispatch.Prompt
import marigoldward.core.dispatch.PromptPart
import marigoldward.core.routes.Route
import marigoldward.gateway.message.Header
import marigoldward.gateway.message.Headers
import marigoldward.gateway.message.RequestHead
import marigoldward.gateway.message.ResponseHead

/**
 * A dialect for tests, with the headers `X-Id`, `X-Wait`, `X-Prompt`, `X-Tokens`, `X-Step`, `X-Cache`, `X-Signed`,
 * `X-Not-Run`, `X-By`, `X-Refuses-For`, `X-Leaving` and `X-Key`.
 */
internal object TestDialect : Dialect {
    private val REPLACED_HEADERS = setOf("x-wait", "x-step", "x-cache", "content-length", "expect")

    override fun readRequest(head: RequestHead): Dialect.RequestMetadata = Dialect.RequestMetadata(
        requestId = head.headers.first("X-Id"),
        deadlineMillis = head.headers.first("X-Wait")?.toLong(),
        prompt = head.headers.first("X-Prompt")?.let { prompt(it, head.headers.first("X-Tokens")?.toInt() ?: 10) },
        lastEventId = head.headers.first("Last-Event-Id"),
        apiKey = head.headers.all("X-Key").singleOrNull(),
    )

    override fun forwardedRequest(head: RequestHead, options: Dialect.ForwardOptions): RequestHead {
        val step =
            when (val step = options.step) {
                Dialect.Step.Whole -> emptyList()
                Dialect.Step.Prefill -> listOf(Header("X-Step", "prefill"))
                is Dialect.Step.Decode -> listOf(Header("X-Cache", "${step.address}/${step.handle}"))
            }
        val resumed = options.resumeAfterEventId?.let { listOf(Header("Last-Event-Id", it)) }.orEmpty()
        return head.copy(headers = Headers(head.headers.endToEnd().without(REPLACED_HEADERS).entries + step + resumed))
    }

    override fun firstEventTimeoutMillis(route: Route): Long = route.timeoutMillis

    override fun readResponse(head: ResponseHead): Dialect.ResponseMetadata = Dialect.ResponseMetadata(
        requestId = head.headers.first("X-Id"),
        isSigned = head.headers.has("X-Signed"),
        isNotRun = head.headers.has("X-Not-Run"),
        isMisdirected = head.status == 421,
        answeredBy = head.headers.first("X-By"),
        isContentEncoded = head.headers.has("Content-Encoding"),
        load = null,
        refusesForMillis = head.headers.first("X-Refuses-For")?.toLong(),
        isLeaving = head.headers.has("X-Leaving"),
    )

    override fun readCacheHandle(body: ByteArray): Outcome<String, String> = Outcome.Success(body.decodeToString())

    override fun cacheReleaseRequest(handle: String): RequestHead =
        RequestHead("DELETE", "/cache/$handle", Headers.EMPTY)

    override fun gatewayResponseHeaders(requestId: String?): Headers =
        if (requestId == null) Headers.EMPTY else Headers.of("X-Id" to requestId)

    private fun prompt(shared: String, ownTokens: Int): Prompt =
        Prompt(listOf(PromptPart(shared, 100), PromptPart("own", ownTokens)), 100 + ownTokens, 5)
}
