package marigoldward.gateway.control

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import marigoldward.core.model.DataCentre
import marigoldward.core.model.InstanceId

private val HERE = DataCentre.parse("here")
private val THERE = DataCentre.parse("there")
private val A = InstanceId.parse("10.0.0.1")
private val B = InstanceId.parse("10.0.0.2")
private val C = InstanceId.parse("10.0.0.3")

private fun source(seeds: List<InstanceId>): FeedSource = FeedSource(HERE, 0).apply { changeSeeds(seeds) }

class FeedSourceTest :
    DescribeSpec({
        describe("an entry that follows control instances") {
            it("stays with a near one that is up to date") {
                val source = source(listOf(A, B))
                source.nextOrNull(0) shouldBe A
                source.heard(A, HERE, listOf(A, B), 100, 100)
                source.isFresh(200) shouldBe true
                source.nextOrNull(200).shouldBeNull()
            }
            it("looks for one in its own data centre, once") {
                val source = source(listOf(A, B))
                source.nextOrNull(0)
                source.heard(A, THERE, emptyList(), 0, 100)
                source.nextOrNull(100) shouldBe B
                source.heard(B, THERE, emptyList(), 0, 200)
                source.nextOrNull(300).shouldBeNull()
            }
            it("leaves one that falls silent within the time of two heartbeats") {
                val source = source(listOf(A, B))
                source.nextOrNull(0)
                source.heard(A, HERE, emptyList(), 0, 100)
                source.nextOrNull(1_000).shouldBeNull()
                source.nextOrNull(1_150) shouldBe B
            }
            it("leaves one that speaks but has lost touch with its leader") {
                val source = source(listOf(A, B))
                source.nextOrNull(0)
                source.heard(A, HERE, emptyList(), 0, 100)
                source.heard(A, HERE, emptyList(), 1_200, 1_300)
                source.isFresh(1_300) shouldBe false
                source.nextOrNull(1_300) shouldBe B
            }
            it("finds instances that only a member told it of, when the seeds are gone") {
                val source = source(listOf(A))
                source.nextOrNull(0)
                source.heard(A, HERE, listOf(A, C), 0, 100)
                source.changeSeeds(listOf(B))
                source.nextOrNull(2_000) shouldNotBe A
                listOf(source.nextOrNull(3_000), source.nextOrNull(4_000)).contains(C) shouldBe true
            }
            it("gives a new one time to say something") {
                val source = source(listOf(A, B))
                source.nextOrNull(0) shouldBe A
                source.nextOrNull(300).shouldBeNull()
                source.nextOrNull(600) shouldBe B
            }
        }
    })
