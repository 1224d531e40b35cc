package marigoldward.core.planning

/**
 * The demand of one priority class for one pool within an interval.
 *
 * @property rank the rank of the class, 0 for the highest
 * @property prefillTokens the prompt tokens that probably have to be prefilled
 * @property decodeTokens the tokens to generate
 */
public data class DemandSample(
    val rank: Int,
    val prefillTokens: Long,
    val decodeTokens: Long,
    val intervalMillis: Long,
)
