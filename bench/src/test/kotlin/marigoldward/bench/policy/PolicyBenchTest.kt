package marigoldward.bench.policy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import marigoldward.bench.KnownRed
import java.io.File

private const val SEED = 7L
private const val URGENT_GOOD_PERCENT = 95.0
private const val GOODPUT_RATIO = 1.25
private const val ROLE_CHANGE_RATIO = 0.25
private val DECLARATIONS = File("../examples/group")

/** The results of all policies on the workload of one site. */
private class SiteResults(workload: Workload) {
    private val results = Policy.entries.parallelStream().map { PolicyRun(workload, it, SEED).run() }.toList()
    val marigoldward: PolicyResult = resultOf(Policy.MARIGOLDWARD)
    val changeAtOnce: PolicyResult = resultOf(Policy.CHANGE_AT_ONCE)
    val workload: Workload = workload

    fun resultOf(policy: Policy): PolicyResult = results.first { it.policy == policy }

    fun goodput(): Double = marigoldward.goodput(Workloads.SWING).toDouble()

    fun bestGoodput(policies: List<Policy>): Double = policies.maxOf {
        resultOf(it).goodput(Workloads.SWING)
    }.toDouble()

    fun urgentGoodPercent(phases: Set<String>): Double = marigoldward.figures(phases).first().goodPercent
}

private val svetloba by lazy { SiteResults(Workloads.svetloba(DECLARATIONS)) }
private val preturi by lazy { SiteResults(Workloads.preturi(DECLARATIONS)) }
private val baselines = Policy.entries - Policy.MARIGOLDWARD
private val fixedRoles = listOf(Policy.NO_ROLE_CHANGES, Policy.ROUND_ROBIN, Policy.LEAST_REPORTED)

class PolicyBenchTest :
    DescribeSpec({
        describe("svetloba") {
            it("keeps urgent work in target through the swing") {
                svetloba.urgentGoodPercent(Workloads.SWING) shouldBeGreaterThanOrEqual URGENT_GOOD_PERCENT
            }
            it("keeps urgent work in target in a flood of the lowest class").config(tags = setOf(KnownRed)) {
                svetloba.urgentGoodPercent(setOf(Workloads.LOW_FLOOD)) shouldBeGreaterThanOrEqual URGENT_GOOD_PERCENT
            }
            it("serves more than every baseline through the swing") {
                svetloba.goodput().toInt() shouldBeGreaterThan svetloba.bestGoodput(baselines).toInt()
            }
            it("serves 1.25 of the best baseline through the swing").config(tags = setOf(KnownRed)) {
                svetloba.goodput() shouldBeGreaterThanOrEqual GOODPUT_RATIO * svetloba.bestGoodput(baselines)
            }
            it("changes roles at most a quarter as often as changing at once") {
                svetloba.marigoldward.roleChanges shouldBeLessThanOrEqual
                    (ROLE_CHANGE_RATIO * svetloba.changeAtOnce.roleChanges).toInt()
            }
            it(
                "leaves each lower class its guaranteed share in a flood of urgent work",
            ).config(tags = setOf(KnownRed)) {
                checkShares(svetloba)
            }
        }
        describe("preturi") {
            it("keeps urgent work in target through the swing").config(tags = setOf(KnownRed)) {
                preturi.urgentGoodPercent(Workloads.SWING) shouldBeGreaterThanOrEqual URGENT_GOOD_PERCENT
            }
            it("keeps urgent work in target in a flood of the lowest class") {
                preturi.urgentGoodPercent(setOf(Workloads.LOW_FLOOD)) shouldBeGreaterThanOrEqual URGENT_GOOD_PERCENT
            }
            it("serves more than every baseline with fixed roles through the swing") {
                preturi.goodput().toInt() shouldBeGreaterThan preturi.bestGoodput(fixedRoles).toInt()
            }
            it("serves 1.25 of the best baseline through the swing").config(tags = setOf(KnownRed)) {
                preturi.goodput() shouldBeGreaterThanOrEqual GOODPUT_RATIO * preturi.bestGoodput(baselines)
            }
            it("changes roles at most a quarter as often as changing at once").config(tags = setOf(KnownRed)) {
                preturi.marigoldward.roleChanges shouldBeLessThanOrEqual
                    (ROLE_CHANGE_RATIO * preturi.changeAtOnce.roleChanges).toInt()
            }
            it("leaves each lower class its guaranteed share in a flood of urgent work") { checkShares(preturi) }
        }
    })

private fun checkShares(site: SiteResults) {
    site.workload.configuration.classes.drop(1).forEach { priority ->
        val share = site.marigoldward.shareOfWork(priority.name.text, setOf(Workloads.HIGH_FLOOD))
        share shouldBeGreaterThanOrEqual priority.guaranteedSharePercent / 100.0
    }
}
