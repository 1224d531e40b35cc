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

private fun demanded(plan: PoolPlan, rank: Int, prefill: Long, decode: Long, seconds: Int): PoolPlan =
    (1..seconds).fold(plan) { current, _ ->
        RolePlanner.observe(current, POOL, listOf(DemandSample(rank, prefill, decode, 1_000)), 1_000)
    }

class RolePlannerTest :
    DescribeSpec({
        describe("the role planner") {
            it("moves the least busy engine towards a lasting demand") {
                val plan = demanded(PoolPlan.EMPTY, 0, prefill = 800, decode = 3_800, seconds = 120)
                val change = RolePlanner.decide(plan, POOL, SETTINGS, engines(3, 3), 0).change
                change?.role shouldBe EngineRole.DECODE
                change?.engine shouldBe UpstreamId.parse("e1")
            }
            it("changes nothing for a short swing") {
                val calm = demanded(PoolPlan.EMPTY, 0, prefill = 1_800, decode = 1_800, seconds = 120)
                val swung = demanded(calm, 0, prefill = 800, decode = 3_000, seconds = 2)
                RolePlanner.decide(swung, POOL, SETTINGS, engines(3, 3), 0).change.shouldBeNull()
            }
            it("waits for the dwell time and for a change under way") {
                val plan = demanded(PoolPlan.EMPTY, 0, prefill = 800, decode = 3_800, seconds = 120)
                val decided = RolePlanner.decide(plan, POOL, SETTINGS, engines(3, 3), 0)
                RolePlanner.decide(decided.plan, POOL, SETTINGS, engines(2, 4), 10_000).change.shouldBeNull()
                val changing = engines(3, 3).map { it.copy(isStable = it.id.text != "e2") }
                RolePlanner.decide(plan, POOL, SETTINGS, changing, 0).change.shouldBeNull()
            }
            it("leaves no role to a single engine") {
                val plan = demanded(PoolPlan.EMPTY, 0, prefill = 100, decode = 6_000, seconds = 120)
                RolePlanner.decide(plan, POOL, SETTINGS, engines(2, 4), 0).change.shouldBeNull()
            }
            it("does not take engines from a higher class for a flood of a lower one") {
                val served = demanded(PoolPlan.EMPTY, 0, prefill = 300, decode = 2_300, seconds = 120)
                val flooded = demanded(served.copy(), 2, prefill = 50_000, decode = 100, seconds = 1)
                val both = (1..120).fold(flooded) { current, _ ->
                    val samples = listOf(DemandSample(0, 300, 2_300, 1_000), DemandSample(2, 50_000, 100, 1_000))
                    RolePlanner.observe(current, POOL, samples, 1_000)
                }
                RolePlanner.decide(both, POOL, SETTINGS, engines(3, 3), 0).change.shouldBeNull()
            }
        }
    })
