package marigoldward.core.dispatch

import marigoldward.core.model.PoolName
import marigoldward.core.routes.EngineDeclaration

/**
 * A generation that looks for its engines.
 *
 * @property targetMillis when its first event should come, in milliseconds after now
 * @property leftMillis when the caller leaves, in milliseconds after now
 * @property gapMillis the longest pause between two events of its stream that is on time, in milliseconds
 * @property bodyBytes the size of the request, in bytes
 */
public data class GenerationRequest(
    val service: PoolName,
    val engine: EngineDeclaration,
    val prompt: Prompt,
    val targetMillis: Long,
    val leftMillis: Long,
    val gapMillis: Long,
    val bodyBytes: Int,
)
