package marigoldward.bench.load

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram

/** The figures of a load by priority class, as written to the result file. */
@Serializable
public data class LoadSummary(val classes: List<ClassSummary>) {
    /**
     * The figures of one class, printed by `toString`.
     *
     * @property right the number of complete and correct answers
     * @property good the number of right answers within the latency targets of the class
     * @property other the number of requests that were neither answered right nor reported as not run
     */
    @Serializable
    public data class ClassSummary(
        @SerialName("class") val className: String,
        val offered: Int,
        val right: Int,
        val good: Int,
        @SerialName("refused_not_run") val refusedNotRun: Int,
        val other: Int,
        @SerialName("first_token_ms_p50") val firstTokenP50Millis: Long,
        @SerialName("first_token_ms_p95") val firstTokenP95Millis: Long,
        @SerialName("first_token_ms_p99") val firstTokenP99Millis: Long,
        @SerialName("between_tokens_ms_p95") val betweenTokensP95Millis: Long,
    )

    /** Creates summaries. */
    public companion object {
        private const val SIGNIFICANT_DIGITS = 2

        /** Returns the figures of the [results] of the class [className] under the given targets in milliseconds. */
        public fun of(
            className: String,
            results: List<LoadRun.TimedResult>,
            firstTokenTargetMillis: Long,
            betweenTokensTargetMillis: Long,
        ): ClassSummary {
            val all = results.map { it.result }
            val firstTokens = Histogram(SIGNIFICANT_DIGITS)
            all.mapNotNull { it.firstTokenMillis }.forEach(firstTokens::recordValue)
            val gaps = Histogram(SIGNIFICANT_DIGITS)
            all.flatMap { it.gapsMillis }.forEach(gaps::recordValue)
            val good = all.count { result ->
                val slowGaps = result.gapsMillis.count { it > betweenTokensTargetMillis }
                val areGapsGood = slowGaps * GAPS_PER_SLOW_GAP <= result.gapsMillis.size
                result.isRight && (result.firstTokenMillis ?: Long.MAX_VALUE) <= firstTokenTargetMillis && areGapsGood
            }
            val right = all.count { it.isRight }
            val notRun = all.count { it.isReportedNotRun }
            return ClassSummary(
                className = className,
                offered = all.size,
                right = right,
                good = good,
                refusedNotRun = notRun,
                other = all.size - right - notRun,
                firstTokenP50Millis = firstTokens.getValueAtPercentile(50.0),
                firstTokenP95Millis = firstTokens.getValueAtPercentile(95.0),
                firstTokenP99Millis = firstTokens.getValueAtPercentile(99.0),
                betweenTokensP95Millis = gaps.getValueAtPercentile(95.0),
            )
        }

        /** At most one in this many gaps of an answer may exceed the target. */
        private const val GAPS_PER_SLOW_GAP = 20
    }
}
