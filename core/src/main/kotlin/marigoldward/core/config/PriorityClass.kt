package marigoldward.core.config

import marigoldward.core.model.ClassName

/**
 * A priority class of requests.
 *
 * @property rank the order in which classes are served; 0 comes first
 * @property guaranteedSharePercent the share of the capacity that the class keeps under any load of higher classes
 * @property firstTokenTargetMillis the target for the time to the first token, in milliseconds
 * @property betweenTokensTargetMillis the target for the time between two tokens, in milliseconds
 * @property maxQueueMillis the longest time that a request may queue before it is refused, in milliseconds
 */
public data class PriorityClass(
    val name: ClassName,
    val rank: Int,
    val guaranteedSharePercent: Int,
    val firstTokenTargetMillis: Long,
    val betweenTokensTargetMillis: Long,
    val maxQueueMillis: Long,
)
