package marigoldward.core.dispatch

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import marigoldward.core.model.DataCentre
import marigoldward.core.model.PoolName
import marigoldward.core.model.UpstreamId

private val READY = ListedUpstream(
    UpstreamId.parse("one"),
    PoolName.parse("service"),
    "127.0.0.1:80",
    DataCentre.parse("here"),
    slots = 6,
    isLeaving = false,
    isCold = false,
    stage = null,
)
private val OTHER = READY.copy(id = UpstreamId.parse("two"))

private fun LeavingUpstreams.isLeavingAfter(list: List<ListedUpstream>, readMillis: Long): Boolean =
    apply(list, readMillis).upstreams.first { it.id == READY.id }.isLeaving

class LeavingUpstreamsTest :
    DescribeSpec({
        describe("an upstream that has announced in an answer that it is leaving") {
            // Guards against a list that names an upstream as ready and brings it back after its own announcement.
            it("stays leaving, whatever lists say, however old they are") {
                val leaving = LeavingUpstreams()
                leaving.recordAnswer(READY, 1_000) shouldBe true
                (listOf(200L, 900, 1_000, 1_001) + (5_000L..60_000 step 1_000)).forEach { readMillis ->
                    leaving.isLeavingAfter(listOf(READY, OTHER), readMillis) shouldBe true
                }
                leaving.apply(listOf(READY, OTHER), 61_000).upstreams shouldBe
                    listOf(READY.copy(isLeaving = true), OTHER)
            }
            it("is new only once") {
                val leaving = LeavingUpstreams()
                leaving.recordAnswer(READY, 1_000) shouldBe true
                leaving.recordAnswer(READY, 1_100) shouldBe false
                leaving.apply(listOf(READY.copy(isLeaving = true)), 1_200).left.shouldBeEmpty()
            }
            it("has started again if it is listed at another address") {
                val leaving = LeavingUpstreams()
                leaving.recordAnswer(READY, 1_000)
                val moved = READY.copy(address = "127.0.0.1:81")
                val applied = leaving.apply(listOf(moved), 1_500)
                applied.upstreams shouldBe listOf(moved)
                applied.returned shouldBe listOf(moved)
            }
            it("has started again if it is listed as cold, though it had been warm") {
                val leaving = LeavingUpstreams()
                leaving.recordAnswer(READY, 1_000)
                leaving.isLeavingAfter(listOf(READY.copy(isCold = true)), 900) shouldBe true
                leaving.isLeavingAfter(listOf(READY), 1_500) shouldBe true
                leaving.isLeavingAfter(listOf(READY.copy(isCold = true)), 2_000) shouldBe false
            }
            it("has not started again if it was cold all the time") {
                val leaving = LeavingUpstreams()
                val cold = READY.copy(isCold = true)
                leaving.recordAnswer(cold, 1_000)
                leaving.isLeavingAfter(listOf(cold), 1_500) shouldBe true
                leaving.isLeavingAfter(listOf(READY), 2_500) shouldBe true
            }
            it("has started again if it is listed after it was absent for a while") {
                val leaving = LeavingUpstreams()
                leaving.recordAnswer(READY, 1_000)
                leaving.apply(listOf(OTHER), 1_600)
                leaving.apply(listOf(OTHER), 2_200)
                leaving.apply(listOf(OTHER), 2_800)
                leaving.isLeavingAfter(listOf(READY, OTHER), 3_400) shouldBe false
            }
            // Guards against an entry that is missing from one reading, as the list changed between two of its pages.
            it("has not started again after it was missing from a single list") {
                val leaving = LeavingUpstreams()
                leaving.recordAnswer(READY, 1_000)
                leaving.apply(listOf(OTHER), 1_600)
                leaving.isLeavingAfter(listOf(READY, OTHER), 6_500) shouldBe true
                leaving.apply(listOf(OTHER), 7_100)
                leaving.isLeavingAfter(listOf(READY, OTHER), 7_700) shouldBe true
            }
            // Guards against an upstream that is kept out for ever because it started again while no list could be read.
            it("may have started again while no list was read, if the next one names it as ready") {
                val leaving = LeavingUpstreams()
                leaving.apply(listOf(READY, OTHER), 900)
                leaving.recordAnswer(READY, 1_000)
                leaving.isLeavingAfter(listOf(READY, OTHER), 5_800) shouldBe true
                leaving.isLeavingAfter(listOf(READY, OTHER), 10_800) shouldBe false
            }
            it("is still leaving after a time without lists if the next one says so, or its answer is recent") {
                val leaving = LeavingUpstreams()
                leaving.apply(listOf(READY, OTHER), 1_000)
                leaving.recordAnswer(READY, 15_000)
                leaving.isLeavingAfter(listOf(READY, OTHER), 16_000) shouldBe true
                leaving.isLeavingAfter(listOf(READY.copy(isLeaving = true), OTHER), 30_000) shouldBe true
                leaving.isLeavingAfter(listOf(READY, OTHER), 31_000) shouldBe true
            }
            it("has not started again if it is absent only from lists that were read before the answer") {
                val leaving = LeavingUpstreams()
                leaving.recordAnswer(READY, 5_000)
                leaving.apply(listOf(OTHER), 1_600)
                leaving.apply(listOf(OTHER), 4_000)
                leaving.isLeavingAfter(listOf(READY, OTHER), 5_500) shouldBe true
            }
        }

        describe("an upstream that the directory has listed as leaving") {
            // Guards against an upstream that has left and comes back with any list that names it as ready.
            it("stays leaving although a later list names it as ready") {
                val leaving = LeavingUpstreams()
                val announced = READY.copy(isLeaving = true)
                leaving.apply(listOf(announced), 1_000).left shouldBe listOf(announced)
                leaving.isLeavingAfter(listOf(READY), 1_600) shouldBe true
                leaving.apply(listOf(announced), 2_200).left.shouldBeEmpty()
                leaving.isLeavingAfter(listOf(READY), 2_800) shouldBe true
            }
            it("is usable again once it has started again") {
                val leaving = LeavingUpstreams()
                leaving.apply(listOf(READY.copy(isLeaving = true)), 1_000)
                leaving.isLeavingAfter(listOf(READY.copy(address = "127.0.0.1:81")), 1_600) shouldBe false
            }
        }

        describe("an upstream that has announced that it is leaving, in a directory that tells times of start") {
            val started = READY.copy(startedUnixMillis = 1_000_000)
            val again = READY.copy(startedUnixMillis = 1_004_000)

            // Guards against an upstream that restarts under its id and address and is never used again.
            it("has started again once the time of its start is another one, however recent its announcement is") {
                val leaving = LeavingUpstreams()
                leaving.recordAnswer(started, 1_000)
                leaving.isLeavingAfter(listOf(started), 1_100) shouldBe true
                leaving.apply(listOf(again), 1_200).returned shouldBe listOf(again)
                (again in leaving) shouldBe false
            }
            it("stays leaving while it is listed with the same time of start, also if it is cold") {
                val leaving = LeavingUpstreams()
                leaving.recordAnswer(started, 1_000)
                leaving.isLeavingAfter(listOf(started.copy(isCold = true)), 1_600) shouldBe true
                leaving.isLeavingAfter(listOf(READY), 2_200) shouldBe true
                leaving.isLeavingAfter(listOf(started), 2_800) shouldBe true
                leaving.isLeavingAfter(listOf(again), 3_400) shouldBe false
            }
        }

        describe("an upstream that was listed as leaving, in a directory that tells no times of start") {
            // Guards against an upstream that restarts warm and without an absence, and is never used again.
            it("has started again once it was listed as ready for longer than lists can be old") {
                val leaving = LeavingUpstreams()
                leaving.apply(listOf(READY.copy(isLeaving = true)), 0)
                (600L..5_400 step 600).forEach { leaving.isLeavingAfter(listOf(READY), it) shouldBe true }
                leaving.isLeavingAfter(listOf(READY), 6_000) shouldBe false
            }
            it("has not if a list between names it as leaving again") {
                val leaving = LeavingUpstreams()
                leaving.apply(listOf(READY.copy(isLeaving = true)), 0)
                (600L..3_000 step 600).forEach { leaving.isLeavingAfter(listOf(READY), it) shouldBe true }
                leaving.apply(listOf(READY.copy(isLeaving = true)), 3_600)
                (4_200L..9_000 step 600).forEach { leaving.isLeavingAfter(listOf(READY), it) shouldBe true }
            }
        }

        describe("an upstream that was only missing from lists") {
            it("is usable once it is listed again") {
                val leaving = LeavingUpstreams()
                leaving.apply(listOf(READY, OTHER), 1_000)
                leaving.apply(listOf(OTHER), 1_600)
                leaving.isLeavingAfter(listOf(READY, OTHER), 2_200) shouldBe false
            }
        }
    })
