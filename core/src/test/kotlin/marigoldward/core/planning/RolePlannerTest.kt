package marigoldward.core.planning

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import marigoldward.core.config.PlannerSettings
import marigoldward.core.config.UpstreamPool
import marigoldward.core.model.EngineRole
import marigoldward.core.model.PoolName
import marigoldward.core.model.UpstreamId
import marigoldward.core.model.UpstreamKind

private val POOL = UpstreamPool(
    name = PoolName.parse("pool"),
    kind = UpstreamKind.ENGINE,
    model = "model",
    pathPrefix = null,
    checksFencingToken = true,
    slots = 16,
    prefillTokensPerSecond = 1_000,
    decodeTokensPerSecond = 1_000,
    kvCapacityTokens = 100_000,
    roleChangeMillis = 4_000,
)
private val SETTINGS = PlannerSettings(isEnabled = true, minRoleChangeIntervalMillis = 15_000)

private fun engines(prefill: Int, decode: Int): List<PlannedEngine> = (1..prefill + decode).map {
    val role = if (it <= prefill) EngineRole.PREFILL else EngineRole.DECODE
    PlannedEngine(UpstreamId.parse("e$it"), role, isStable = true, streams = it)
}

private fun withDemand(state: PlannerState, rank: Int, prefill: Long, decode: Long, seconds: Int): PlannerState =
    (1..seconds).fold(state) { current, _ ->
        RolePlanner.observe(current, POOL, listOf(DemandSample(rank, prefill, decode, 1_000)), 1_000)
    }

class RolePlannerTest :
    DescribeSpec({
        describe("the role planner") {
            it("changes the role of the least busy engine to meet a lasting demand") {
                val state = withDemand(PlannerState.EMPTY, 0, prefill = 800, decode = 3_800, seconds = 120)
                val change = RolePlanner.decide(state, POOL, SETTINGS, engines(3, 3), 0).change
                change?.role shouldBe EngineRole.DECODE
                change?.engine shouldBe UpstreamId.parse("e1")
            }
            it("changes nothing for a short swing of the demand") {
                val balanced = withDemand(PlannerState.EMPTY, 0, prefill = 1_800, decode = 1_800, seconds = 120)
                val afterSwing = withDemand(balanced, 0, prefill = 800, decode = 3_000, seconds = 2)
                RolePlanner.decide(afterSwing, POOL, SETTINGS, engines(3, 3), 0).change.shouldBeNull()
            }
            it("changes nothing during the dwell time or while an engine changes its role") {
                val state = withDemand(PlannerState.EMPTY, 0, prefill = 800, decode = 3_800, seconds = 120)
                val decided = RolePlanner.decide(state, POOL, SETTINGS, engines(3, 3), 0)
                RolePlanner.decide(decided.state, POOL, SETTINGS, engines(2, 4), 10_000).change.shouldBeNull()
                val changing = engines(3, 3).map { it.copy(isStable = it.id.text != "e2") }
                RolePlanner.decide(state, POOL, SETTINGS, changing, 0).change.shouldBeNull()
            }
            it("keeps at least two engines in each role") {
                val state = withDemand(PlannerState.EMPTY, 0, prefill = 100, decode = 6_000, seconds = 120)
                RolePlanner.decide(state, POOL, SETTINGS, engines(2, 4), 0).change.shouldBeNull()
            }
            it("takes no engines from a higher class when a lower class has excess demand") {
                val onlyHigher = withDemand(PlannerState.EMPTY, 0, prefill = 300, decode = 2_300, seconds = 120)
                val withFlood = withDemand(onlyHigher.copy(), 2, prefill = 50_000, decode = 100, seconds = 1)
                val afterBoth = (1..120).fold(withFlood) { current, _ ->
                    val samples = listOf(DemandSample(0, 300, 2_300, 1_000), DemandSample(2, 50_000, 100, 1_000))
                    RolePlanner.observe(current, POOL, samples, 1_000)
                }
                RolePlanner.decide(afterBoth, POOL, SETTINGS, engines(3, 3), 0).change.shouldBeNull()
            }
        }
    })
