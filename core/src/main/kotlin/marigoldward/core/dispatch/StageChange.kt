package marigoldward.core.dispatch

/** The engine of [gauge] should change to [stage]. */
public data class StageChange(val gauge: EngineGauge, val stage: EngineStage)
