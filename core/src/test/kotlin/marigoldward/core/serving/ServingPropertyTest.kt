package marigoldward.core.serving

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import marigoldward.core.model.RequestId
import kotlin.random.Random

private const val SEED_COUNT = 300

/**
 * Drives the serving state with random requests, failures and load reports, and collects the rules it violates.
 *
 * Every request must end exactly once, no request may be sent again if it may have run and is not repeatable, and no
 * request or load may remain at the end.
 */
private class RandomTraffic(seed: Int) {
    private val random = Random(seed)
    private val fixture = ServingFixture(engines = 4, slots = 3)
    private var inFlight = emptyList<ServingAction.Dispatch>()
    private val endCounts = HashMap<RequestId, Int>()
    private val broken = HashSet<RequestId>()
    private val unrepeatable = HashSet<RequestId>()
    val violations = ArrayList<String>()

    fun run() {
        repeat(400) { step() }
        repeat(200) { finishOldest(AttemptResult.Done) }
        process(fixture.advance(61_000))
        while (inFlight.isNotEmpty()) finishOldest(AttemptResult.Done)
        endCounts.filterValues { it != 1 }.forEach { violations.add("request ${it.key} ended ${it.value} times") }
        if (fixture.state.openRequests != 0) violations.add("${fixture.state.openRequests} requests never ended")
        val loads = fixture.state.upstreams.values.map { it.ownLoad }
        if (loads.any {
                it != UpstreamLoad.NONE
            }
        ) {
            violations.add("upstreams still have load after all requests ended: $loads")
        }
    }

    private fun step() {
        when (random.nextInt(10)) {
            in 0..3 -> arrive()
            in 4..5 -> finishOldest(AttemptResult.Done)
            6 -> finishOldest(AttemptResult.Broken(random.nextLong(3), random.nextBoolean()))
            7 -> finishOldest(AttemptResult.NotRun(random.nextBoolean()))
            8 -> process(fixture.report(fixture.engineIds.random(random), random.nextInt(4)))
            else -> process(fixture.advance(random.nextLong(1, 20) * 10))
        }
    }

    private fun arrive() {
        val spec = fixture.spec(
            priority = if (random.nextBoolean()) fixture.urgent else fixture.routine,
            isRepeatable = random.nextInt(3) > 0,
            fingerprint = random.nextInt(1_000_000).toString(16),
        )
        endCounts[spec.id] = 0
        if (!spec.isRepeatable) unrepeatable.add(spec.id)
        process(fixture.arrive(spec))
    }

    private fun finishOldest(result: AttemptResult) {
        val dispatch = inFlight.firstOrNull() ?: return
        inFlight = inFlight.drop(1)
        if (result == AttemptResult.Done) endCounts.merge(dispatch.id, 1, Int::plus)
        if (result is AttemptResult.Broken) broken.add(dispatch.id)
        process(fixture.finish(dispatch, result))
    }

    private fun process(actions: List<ServingAction>) {
        actions.dispatches().forEach {
            if (it.id in broken && it.id in unrepeatable) {
                violations.add("request ${it.id} is not repeatable, but was sent again after it may have run")
            }
            if (inFlight.any { other ->
                    other.id == it.id
                }
            ) {
                violations.add("request ${it.id} has two attempts in flight")
            }
        }
        actions.refusals().forEach {
            endCounts.merge(it.id, 1, Int::plus)
            if (!it.mayHaveRun && it.id in broken) {
                violations.add("request ${it.id} was refused as not run, but may have run")
            }
        }
        inFlight = inFlight + actions.dispatches()
    }
}

class ServingPropertyTest :
    DescribeSpec({
        describe("serving under random traffic and failures") {
            it("ends every request exactly once, with a correct mayHaveRun and no load left on upstreams") {
                val violations = (1..SEED_COUNT).flatMap { seed ->
                    RandomTraffic(seed).apply { run() }.violations.map { "seed $seed: $it" }
                }
                violations shouldBe emptyList()
            }
            it("makes the same decisions from the same seed") {
                val first = ServingFixture(engines = 4)
                val second = ServingFixture(engines = 4)
                first.arrive(first.spec()) shouldBe second.arrive(second.spec())
                first.state.randomState shouldNotBe 1L
            }
        }
    })
