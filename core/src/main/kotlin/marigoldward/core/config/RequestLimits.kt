package marigoldward.core.config

/**
 * Limits for a caller and for a single request.
 *
 * @property maxBodyBytes the largest request body, in bytes
 * @property maxOutputTokens the most output tokens that a request may ask for
 * @property callerQueueShares how many equal shares of the queue one caller may fill; an equal share is the capacity of
 *   the queue divided by the number of waiting callers
 * @property requestTimeoutMillis the longest total time of a request, in milliseconds
 * @property retryBudgetPercent the retries allowed for every hundred first attempts
 */
public data class RequestLimits(
    val maxBodyBytes: Long,
    val maxOutputTokens: Long,
    val callerQueueShares: Int,
    val requestTimeoutMillis: Long,
    val retryBudgetPercent: Int,
)
