package marigoldward.control.feed

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.booleans.shouldBeFalse
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import marigoldward.control.feed.SharedDirectory.Role
import marigoldward.core.dispatch.EngineStage
import marigoldward.core.dispatch.ListedUpstream
import marigoldward.core.model.DataCentre
import marigoldward.core.model.PoolName
import marigoldward.core.model.UpstreamId
import marigoldward.support.directory.DirectoryReading

private fun upstream(name: String): ListedUpstream = ListedUpstream(
    id = UpstreamId.parse(name),
    service = PoolName.parse("design"),
    address = "127.0.0.1:1",
    dataCentre = DataCentre.parse("a"),
    slots = 8,
    isLeaving = false,
    isCold = false,
    stage = EngineStage.DECODE,
)

private fun reading(atMillis: Long, vararg names: String) = DirectoryReading(names.map(::upstream), atMillis)

private fun names(directory: SharedDirectory): List<String>? = directory.readingOrNull?.upstreams?.map { it.id.text }

class SharedDirectoryTest :
    DescribeSpec({
        describe("the list of upstreams that replicas share") {
            it("is read by the leader alone, however many followers there are") {
                val leader = SharedDirectory(100, clockId = 100)
                val followers = List(6) { SharedDirectory(200L + it, clockId = 200L + it) }
                val sentEditions = arrayOfNulls<Long>(followers.size)
                var readingCount = 0
                for (nowMillis in 1_000L..7_000L step 200) {
                    if (leader.markReadStartedIfDue(Role.LEADER, nowMillis)) {
                        readingCount++
                        leader.recordReading(reading(nowMillis, "e1"))
                    }
                    followers.forEachIndexed { index, follower ->
                        val update = leader.updateOrNull(sentEditions[index], nowMillis).shouldNotBeNull()
                        sentEditions[index] = update.edition
                        follower.receive(update, nowMillis + 50)
                        if (follower.markReadStartedIfDue(Role.FOLLOWER, nowMillis + 50)) readingCount++
                    }
                }
                readingCount shouldBe 11
            }
            it("is sent in full once, then confirmed while it is unchanged") {
                val leader = SharedDirectory(100, clockId = 100)
                val follower = SharedDirectory(200, clockId = 200)
                leader.recordReading(reading(1_000, "e1"))
                val firstUpdate = leader.updateOrNull(null, 1_100).shouldNotBeNull()
                follower.receive(firstUpdate, 1_150).shouldBeTrue()
                leader.recordReading(reading(1_600, "e1"))
                val secondUpdate = leader.updateOrNull(firstUpdate.edition, 1_700).shouldNotBeNull()
                secondUpdate.snapshot.shouldBeNull()
                follower.receive(secondUpdate, 1_750).shouldBeTrue()
                follower.readingOrNull?.readMillis shouldBe 1_650L
                leader.recordReading(reading(2_200, "e1", "e2"))
                follower.receive(leader.updateOrNull(firstUpdate.edition, 2_200).shouldNotBeNull(), 2_250)
                names(follower) shouldBe listOf("e1", "e2")
            }
            it("is not confirmed by an update to a replica that missed the list") {
                val leader = SharedDirectory(100, clockId = 100)
                val restarted = SharedDirectory(200, clockId = 200)
                leader.recordReading(reading(1_000, "e1"))
                val edition = leader.updateOrNull(null, 1_000)?.edition
                restarted.receive(leader.updateOrNull(edition, 1_100).shouldNotBeNull(), 1_150).shouldBeFalse()
                restarted.readingOrNull.shouldBeNull()
                restarted.markReadStartedIfDue(Role.FOLLOWER, 1_200).shouldBeTrue()
            }
            it("is read by a follower without updates, which accepts the leader's list again once it is newer") {
                val leader = SharedDirectory(100, clockId = 100)
                val follower = SharedDirectory(200, clockId = 200)
                leader.recordReading(reading(1_000, "e1"))
                val update = leader.updateOrNull(null, 1_000).shouldNotBeNull()
                follower.receive(update, 1_000)
                follower.markReadStartedIfDue(Role.FOLLOWER, 2_100).shouldBeFalse()
                follower.markReadStartedIfDue(Role.FOLLOWER, 2_101).shouldBeTrue()
                follower.recordReading(reading(2_101, "e1", "e2")).shouldBeTrue()
                follower.receive(leader.updateOrNull(update.edition, 2_200).shouldNotBeNull(), 2_200).shouldBeFalse()
                names(follower) shouldBe listOf("e1", "e2")
                leader.recordReading(reading(2_400, "e1", "e3"))
                follower.receive(leader.updateOrNull(update.edition, 2_500).shouldNotBeNull(), 2_500).shouldBeTrue()
                names(follower) shouldBe listOf("e1", "e3")
            }
            // Guards against a list that was under way for seconds and is taken for newer than one read meanwhile.
            it("is not replaced by the leader's if that was sent before the follower read it and comes late") {
                val leader = SharedDirectory(100, clockId = 100)
                val follower = SharedDirectory(200, clockId = 200)
                leader.recordReading(reading(1_000, "e1"))
                val first = leader.updateOrNull(null, 1_000).shouldNotBeNull()
                follower.receive(first, 1_005).shouldBeTrue()
                leader.recordReading(reading(1_600, "e1", "old"))
                val late = leader.updateOrNull(first.edition, 1_600).shouldNotBeNull()
                follower.recordReading(reading(2_200, "e1", "new")).shouldBeTrue()
                follower.receive(late, 4_000).shouldBeFalse()
                names(follower) shouldBe listOf("e1", "new")
            }
            it("is dated by its arrival if it comes from a replica that doesn't tell when it sent it") {
                val leader = SharedDirectory(100, clockId = 100)
                val follower = SharedDirectory(200, clockId = 200)
                leader.recordReading(reading(1_000, "e1"))
                val update = leader.updateOrNull(null, 1_100).shouldNotBeNull().copy(sentAt = null)
                follower.receive(update, 1_150).shouldBeTrue()
                follower.readingOrNull?.readMillis shouldBe 1_050L
            }
            it("is not read by an instance that is not a member") {
                SharedDirectory(100, clockId = 100).markReadStartedIfDue(Role.OUTSIDER, 60_000).shouldBeFalse()
            }
        }
    })
