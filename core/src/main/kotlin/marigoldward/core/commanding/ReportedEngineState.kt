package marigoldward.core.commanding

import marigoldward.core.model.EngineRole

/**
 * The current state of an engine, as the engine itself reports it.
 *
 * @property isDraining whether the engine accepts no new requests
 * @property isChanging whether the engine is carrying out a command
 * @property openRequests the number of requests that the engine is processing or has queued
 * @property lastCommandId the id of the last command that the engine accepted, or null if there was none
 */
public data class ReportedEngineState(
    val role: EngineRole,
    val model: String,
    val version: String,
    val adapters: List<String>,
    val isDraining: Boolean,
    val isChanging: Boolean,
    val openRequests: Int,
    val lastCommandId: String?,
)
