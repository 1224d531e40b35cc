package marigoldward.bench.policy

/** The number of prefill engines at [atMillis], and the demand at that time in engine-seconds per second. */
internal data class RoleSample(
    val atMillis: Long,
    val prefillEngines: Int,
    val prefillDemand: Double,
    val decodeDemand: Double,
)
