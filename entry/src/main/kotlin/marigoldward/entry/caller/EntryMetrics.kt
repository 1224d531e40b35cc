package marigoldward.entry.caller

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Histogram
import marigoldward.core.config.PriorityClass
import marigoldward.core.model.CallerId

/** The metrics of callers' requests. */
internal object EntryMetrics {
    private const val MILLIS_PER_SECOND = 1_000.0
    private const val MAX_CALLER_LABELS = 100
    private const val OTHER_CALLERS = "other"
    private val BUCKET_BOUNDS_SECONDS =
        doubleArrayOf(0.01, 0.02, 0.04, 0.06, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0, 30.0, 60.0, 120.0)
    private var labelledCallers = emptySet<String>()

    private val queueTime = histogram("marigoldward_queue_seconds", "Time from arrival to dispatch", "class", "caller")
    private val timeToFirstToken =
        histogram("marigoldward_first_token_seconds", "Time to the first token", "class", "caller")
    private val timeBetweenTokens =
        histogram("marigoldward_between_tokens_seconds", "Time between tokens", "class", "caller")
    private val requestTime =
        histogram("marigoldward_request_seconds", "Time of whole requests", "class", "caller", "outcome")
    private val refusals =
        counter("marigoldward_refused_total", "Requests without an answer", "class", "reason", "may_have_run")
    private val retries = counter("marigoldward_retries_total", "Attempts after the first", "class")
    private val droppedAnswerParts =
        counter("marigoldward_answer_parts_dropped_total", "Parts of answers that were not the caller's", "reason")
    private val invalidRequests = counter("marigoldward_invalid_requests_total", "Requests that were not valid")

    fun observeQueueTime(priority: PriorityClass, caller: CallerId, millis: Long) =
        queueTime.labelValues(priority.name.text, callerLabel(caller)).observe(millis / MILLIS_PER_SECOND)

    fun observeTimeToFirstToken(priority: PriorityClass, caller: CallerId, millis: Long) =
        timeToFirstToken.labelValues(priority.name.text, callerLabel(caller)).observe(millis / MILLIS_PER_SECOND)

    fun observeTimeBetweenTokens(priority: PriorityClass, caller: CallerId, millis: Long) =
        timeBetweenTokens.labelValues(priority.name.text, callerLabel(caller)).observe(millis / MILLIS_PER_SECOND)

    fun observeRequestTime(priority: PriorityClass, caller: CallerId, outcome: String, millis: Long) =
        requestTime.labelValues(priority.name.text, callerLabel(caller), outcome).observe(millis / MILLIS_PER_SECOND)

    fun countRefusal(priority: PriorityClass, reason: String, mayHaveRun: Boolean) =
        refusals.labelValues(priority.name.text, reason, mayHaveRun.toString()).inc()

    fun countRetry(priority: PriorityClass) = retries.labelValues(priority.name.text).inc()

    fun countDroppedAnswerPart(reason: String) = droppedAnswerParts.labelValues(reason).inc()

    fun countInvalidRequest() = invalidRequests.inc()

    /** Returns the label of [caller]. To bound the series, callers after the first [MAX_CALLER_LABELS] share one. */
    @Synchronized
    private fun callerLabel(caller: CallerId): String {
        if (caller.text in labelledCallers) return caller.text
        if (labelledCallers.size >= MAX_CALLER_LABELS) return OTHER_CALLERS
        labelledCallers = labelledCallers + caller.text
        return caller.text
    }

    private fun histogram(name: String, help: String, vararg labels: String): Histogram = Histogram
        .builder()
        .name(name)
        .help(help)
        .labelNames(*labels)
        .classicOnly()
        .classicUpperBounds(*BUCKET_BOUNDS_SECONDS)
        .register()

    private fun counter(name: String, help: String, vararg labels: String): Counter =
        Counter.builder().name(name).help(help).labelNames(*labels).register()
}
