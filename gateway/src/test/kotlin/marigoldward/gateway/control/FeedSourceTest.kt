package marigoldward.gateway.control

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import marigoldward.core.model.DataCentre
import marigoldward.core.model.InstanceId

private val OWN_DATA_CENTRE = DataCentre.parse("here")
private val OTHER_DATA_CENTRE = DataCentre.parse("there")
private val A = InstanceId.parse("10.0.0.1")
private val B = InstanceId.parse("10.0.0.2")
private val C = InstanceId.parse("10.0.0.3")

private fun source(seeds: List<InstanceId>): FeedSource = FeedSource(OWN_DATA_CENTRE, 0).apply { changeSeeds(seeds) }

class FeedSourceTest :
    DescribeSpec({
        describe("feed source") {
            it("stays with a fresh instance in its own data centre") {
                val source = source(listOf(A, B))
                source.selectNextOrNull(0) shouldBe A
                source.recordUpdate(A, OWN_DATA_CENTRE, listOf(A, B), 100, 100)
                source.isFresh(200) shouldBe true
                source.selectNextOrNull(200).shouldBeNull()
            }
            it("leaves an instance in another data centre for one not followed yet, and tries each only once") {
                val source = source(listOf(A, B))
                source.selectNextOrNull(0)
                source.recordUpdate(A, OTHER_DATA_CENTRE, emptyList(), 0, 100)
                source.selectNextOrNull(100) shouldBe B
                source.recordUpdate(B, OTHER_DATA_CENTRE, emptyList(), 0, 200)
                source.selectNextOrNull(300).shouldBeNull()
            }
            it("leaves an instance that sends nothing for the time of two heartbeats") {
                val source = source(listOf(A, B))
                source.selectNextOrNull(0)
                source.recordUpdate(A, OWN_DATA_CENTRE, emptyList(), 0, 100)
                source.selectNextOrNull(1_000).shouldBeNull()
                source.selectNextOrNull(1_150) shouldBe B
            }
            it("leaves an instance that sends updates whose state is outdated, as after losing its leader") {
                val source = source(listOf(A, B))
                source.selectNextOrNull(0)
                source.recordUpdate(A, OWN_DATA_CENTRE, emptyList(), 0, 100)
                source.recordUpdate(A, OWN_DATA_CENTRE, emptyList(), 1_200, 1_300)
                source.isFresh(1_300) shouldBe false
                source.selectNextOrNull(1_300) shouldBe B
            }
            it("follows instances known only from an update when the seeds have changed") {
                val source = source(listOf(A))
                source.selectNextOrNull(0)
                source.recordUpdate(A, OWN_DATA_CENTRE, listOf(A, C), 0, 100)
                source.changeSeeds(listOf(B))
                source.selectNextOrNull(2_000) shouldNotBe A
                listOf(source.selectNextOrNull(3_000), source.selectNextOrNull(4_000)).contains(C) shouldBe true
            }
            it("waits for the first update of a newly followed instance") {
                val source = source(listOf(A, B))
                source.selectNextOrNull(0) shouldBe A
                source.selectNextOrNull(300).shouldBeNull()
                source.selectNextOrNull(600) shouldBe B
            }
        }
    })
