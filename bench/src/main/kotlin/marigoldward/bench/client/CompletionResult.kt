package marigoldward.bench.client

/**
 * The result of one completion request.
 *
 * @property statusCode the HTTP status, or 0 if the connection failed
 * @property outcome the machine-readable outcome of a refusal, or null for an answer
 * @property firstTokenMillis the time to the first token in milliseconds, or null if none was received
 * @property gapsMillis the times between consecutive tokens in milliseconds
 * @property isRight whether the answer was complete and had the text expected for this request
 * @property problem why the answer is not right, or null if it is
 */
public data class CompletionResult(
    val statusCode: Int,
    val outcome: String?,
    val requestId: String?,
    val firstTokenMillis: Long?,
    val gapsMillis: List<Long>,
    val totalMillis: Long,
    val isRight: Boolean,
    val problem: String?,
) {
    /** Whether the entry reported that the request was not run. */
    val isReportedNotRun: Boolean get() = outcome == "not_run"
}
