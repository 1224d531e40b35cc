package marigoldward.bench.policy

import org.HdrHistogram.Histogram

/** The result of the simulation of one policy on one workload. */
internal class PolicyResult(
    val policy: Policy,
    val workload: Workload,
    val requests: List<SimulatedRequest>,
    val roleChanges: Int,
    val roles: List<RoleSample>,
) {
    /** The figures of one priority class within some phases. */
    data class ClassFigures(
        val className: String,
        val offered: Int,
        val good: Int,
        val answered: Int,
        val refused: Int,
        val firstTokenP50Millis: Long,
        val firstTokenP95Millis: Long,
        val firstTokenP99Millis: Long,
        val gapP95Millis: Long,
    ) {
        val goodPercent: Double get() = HUNDRED * good / maxOf(1, offered)
    }

    /** Returns how many requests that arrived in [phases] were answered completely and within their targets. */
    fun goodput(phases: Set<String>): Int = arrivedIn(phases).count { it.isGood }

    /** Returns the figures of each class for the requests that arrived in [phases]. */
    fun figures(phases: Set<String>): List<ClassFigures> =
        workload.configuration.classes.map { priority -> figures(priority.name.text, arrivedIn(phases)) }

    /** Returns the share of [className] in the engine time of all answered requests that arrived in [phases]. */
    fun shareOfWork(className: String, phases: Set<String>): Double {
        val answered = arrivedIn(phases).filter { it.endMillis != null }
        val allSeconds = answered.sumOf(::engineSeconds)
        return answered.filter { it.spec.priority.name.text == className }.sumOf(::engineSeconds) /
            maxOf(1.0, allSeconds)
    }

    private fun engineSeconds(request: SimulatedRequest): Double {
        val pool = workload.pool
        return request.spec.promptTokens.toDouble() / pool.prefillTokensPerSecond +
            request.spec.outputTokens.toDouble() / pool.decodeTokensPerSecond
    }

    private fun arrivedIn(phases: Set<String>): List<SimulatedRequest> {
        var startMillis = 0L
        val spans = workload.phases.mapNotNull { phase ->
            val span = startMillis until startMillis + phase.durationMillis
            startMillis += phase.durationMillis
            span.takeIf { phase.name in phases }
        }
        return requests.filter { request -> spans.any { request.spec.arrivedMillis in it } }
    }

    private fun figures(className: String, requests: List<SimulatedRequest>): ClassFigures {
        val classRequests = requests.filter { it.spec.priority.name.text == className }
        val firstTokens = Histogram(SIGNIFICANT_DIGITS)
        classRequests.forEach { request ->
            request.firstTokenMillis?.let { firstTokens.recordValue((it - request.arrivedMillis).toLong()) }
        }
        val gaps = Histogram(SIGNIFICANT_DIGITS)
        classRequests.filter { it.endMillis != null }.forEach { gaps.recordValue(it.slowestGapMillis.toLong()) }
        return ClassFigures(
            className = className,
            offered = classRequests.size,
            good = classRequests.count { it.isGood },
            answered = classRequests.count { it.endMillis != null },
            refused = classRequests.count { it.isRefused },
            firstTokenP50Millis = firstTokens.getValueAtPercentile(50.0),
            firstTokenP95Millis = firstTokens.getValueAtPercentile(95.0),
            firstTokenP99Millis = firstTokens.getValueAtPercentile(99.0),
            gapP95Millis = gaps.getValueAtPercentile(95.0),
        )
    }

    private companion object {
        const val HUNDRED = 100.0
        const val SIGNIFICANT_DIGITS = 2
    }
}
