package marigoldward.core.dispatch

import marigoldward.core.model.PoolName
import marigoldward.core.routes.EngineDeclaration

/**
 * A request for a generation that has to be placed.
 *
 * @property targetMillis the time within which the first event is on time, in milliseconds from now
 * @property remainingMillis the time until the caller leaves, in milliseconds from now
 * @property maxPauseMillis the longest pause between two events that is on time
 * @property bodyBytes the size of the request body
 * @property maySplit whether an engine of the prefill stage may process the prompt for another one
 */
public data class GenerationRequest(
    val service: PoolName,
    val engine: EngineDeclaration,
    val prompt: Prompt,
    val targetMillis: Long,
    val remainingMillis: Long,
    val maxPauseMillis: Long,
    val bodyBytes: Int,
    val maySplit: Boolean = true,
)
