package marigoldward.gateway

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.Histogram
import marigoldward.core.routes.Route
import marigoldward.core.workspaces.WorkspaceLabels
import marigoldward.core.workspaces.WorkspaceName
import marigoldward.gateway.session.ResponseTiming

/** The metrics of a gateway. */
internal object GatewayMetrics {
    private const val MILLIS_PER_SECOND = 1_000.0

    /** How many workspaces have a time series of their own; bounds the size of the page and the memory for it. */
    private const val MAX_WORKSPACES = 50
    private val BUCKET_BOUNDS_SECONDS = doubleArrayOf(0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 4.0, 8.0)

    val connectionsOpened: Counter =
        Counter
            .builder()
            .name("marigoldward_upstream_connections_total")
            .help("Connections opened to upstreams")
            .register()
    private val requests: Counter =
        Counter
            .builder()
            .name("marigoldward_requests_total")
            .help("Requests that ended, by what became of them")
            .labelNames("priority", "kind", "outcome")
            .register()
    private val attempts: Counter =
        Counter
            .builder()
            .name("marigoldward_attempts_total")
            .help("Attempts at upstreams, by how they ended")
            .labelNames("end")
            .register()
    val retries: Counter =
        Counter
            .builder()
            .name("marigoldward_retries_total")
            .help("Retries that were requested from the retry budget, by whether they were taken or denied")
            .labelNames("decision")
            .register()
    val failedTasks: Counter =
        Counter
            .builder()
            .name("marigoldward_failed_tasks_total")
            .help("Tasks of the event loop that ended with an exception")
            .register()
    private val answersDropped: Counter =
        Counter
            .builder()
            .name("marigoldward_upstream_answers_dropped_total")
            .help("Answers of upstreams that belong to no call on their connection, by why")
            .labelNames("reason")
            .register()
    val requestsDropped: Counter =
        Counter
            .builder()
            .name("marigoldward_requests_dropped_total")
            .help("Connections closed on a request that was read, by why")
            .labelNames("reason")
            .register()
    private val connectionsRefused: Counter =
        Counter
            .builder()
            .name("marigoldward_connections_refused_total")
            .help("Connections of callers that were closed at once, as there were too many")
            .register()
    private val memoryShort: Counter =
        Counter
            .builder()
            .name("marigoldward_request_memory_short_total")
            .help("Heads and parts of bodies for which the memory for requests was used up")
            .register()
    private val keysDenied: Counter =
        Counter
            .builder()
            .name("marigoldward_keys_denied_total")
            .help("Requests that got 401, by why: no_key or unknown_key")
            .labelNames("reason")
            .register()
    val keysNotConfirmed: Counter =
        Counter
            .builder()
            .name("marigoldward_keys_not_confirmed_total")
            .help("Requests with a key that got 503 because the configuration was not confirmed as the newest")
            .register()
    private val workspaceRequests: Counter =
        Counter
            .builder()
            .name("marigoldward_workspace_requests_total")
            .help(
                "Requests with a valid key that ended, by workspace (the first 50, and all others) and whether refused",
            )
            .labelNames("workspace", "result")
            .register()
    private val workspaceLabels = WorkspaceLabels(MAX_WORKSPACES)
    val configurationAgeSeconds: Gauge =
        Gauge
            .builder()
            .name("marigoldward_configuration_confirmed_age_seconds")
            .help("How long ago the configuration in force was last confirmed as the newest, or -1 if it is not known")
            .register()
    private val firstPartSeconds: Histogram =
        histogram("marigoldward_first_byte_seconds", "Time to an answer's first part")
    private val pauseSeconds: Histogram = histogram("marigoldward_pause_seconds", "Longest pause within an answer")
    private val requestSeconds: Histogram = histogram("marigoldward_request_seconds", "Time to the end of an answer")
    val routesVersion: Gauge =
        Gauge.builder().name("marigoldward_routes_version").help("The configuration of routes in force").register()
    val unreadableRoutesVersion: Gauge =
        Gauge
            .builder()
            .name("marigoldward_routes_version_unreadable")
            .help("The newest configuration of routes that was sent and could not be read, or 0")
            .register()
    val budgetSharers: Gauge =
        Gauge
            .builder()
            .name("marigoldward_budget_sharers")
            .help("Gateways by which the slack of the retry budgets is divided")
            .register()
    val gatewayCount: Gauge =
        Gauge
            .builder()
            .name("marigoldward_gateways")
            .help("Gateways with which this one shares the engines, including itself")
            .register()
    val directoryAgeSeconds: Gauge =
        Gauge
            .builder()
            .name("marigoldward_directory_age_seconds")
            .help("How long ago the directory of upstreams was read")
            .register()

    private val controlStateAgeSeconds: Gauge =
        Gauge
            .builder()
            .name("marigoldward_control_state_age_seconds")
            .help("The greatest possible age of the state that the followed control instance has sent")
            .register()

    fun setControlStateAge(ageMillis: Long) = controlStateAgeSeconds.set(ageMillis / MILLIS_PER_SECOND)

    fun recordAttemptEnd(label: String) = attempts.labelValues(label).inc()

    fun recordRetryDecision(isTaken: Boolean) = retries.labelValues(if (isTaken) "taken" else "denied").inc()

    fun recordAnswerDropped(reason: String) = answersDropped.labelValues(reason).inc()

    fun recordConnectionRefused() = connectionsRefused.inc()

    fun recordMemoryShort() = memoryShort.inc()

    fun recordRequestDropped(reason: String) = requestsDropped.labelValues(reason).inc()

    fun recordKeyDenied(reason: String) = keysDenied.labelValues(reason).inc()

    fun recordWorkspaceRequest(workspace: WorkspaceName, isRefused: Boolean) =
        workspaceRequests.labelValues(workspaceLabels.labelOf(workspace), if (isRefused) "refused" else "taken").inc()

    fun recordRequestEnd(route: Route, outcome: String, timing: ResponseTiming, totalMillis: Long) {
        val priority = route.priority.toString()
        requests.labelValues(priority, route.kind.name.lowercase(), outcome).inc()
        requestSeconds.labelValues(priority).observe(totalMillis / MILLIS_PER_SECOND)
        timing.firstPartMillis?.let { firstPartSeconds.labelValues(priority).observe(it / MILLIS_PER_SECOND) }
        timing.longestPauseMillis?.let { pauseSeconds.labelValues(priority).observe(it / MILLIS_PER_SECOND) }
    }

    private fun histogram(name: String, help: String): Histogram = Histogram
        .builder()
        .name(name)
        .help(help)
        .labelNames("priority")
        .classicUpperBounds(*BUCKET_BOUNDS_SECONDS)
        .register()
}
