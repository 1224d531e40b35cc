package marigoldward.core.dispatch

/** A change of the engine that reported [status] to [newStage]. */
public data class StageChange(val status: EngineStatus, val newStage: EngineStage)
