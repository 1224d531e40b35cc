package marigoldward.core.dispatch

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import marigoldward.core.model.DataCentre
import marigoldward.core.model.PoolName
import marigoldward.core.model.UpstreamId

private val SERVICE = PoolName.parse("service")
private val SOUND = ListedUpstream(
    UpstreamId.parse("one"),
    SERVICE,
    "127.0.0.1:80",
    DataCentre.parse("here"),
    slots = 6,
    isLeaving = false,
    isCold = false,
    stage = null,
)
private val OTHER = SOUND.copy(id = UpstreamId.parse("two"), address = "127.0.0.1:81")
private val ELSEWHERE = SOUND.copy(address = "127.0.0.1:9")

private fun DuplicateEntries.resolve(vararg list: ListedUpstream): List<ListedUpstream> =
    resolve(list.toList()) { it == SERVICE }

class DuplicateEntriesTest :
    DescribeSpec({
        describe("entries that give the same id") {
            // Guards against an entry of another writer that takes the place of a sound one.
            it("are decided for the service that is declared, in whatever order they come") {
                val foreign = ELSEWHERE.copy(service = PoolName.parse("unknown"))
                DuplicateEntries().resolve(foreign, SOUND, OTHER) shouldBe listOf(SOUND, OTHER)
                DuplicateEntries().resolve(SOUND, OTHER, foreign) shouldBe listOf(SOUND, OTHER)
            }
            it("are decided for the latest start") {
                val earlier = SOUND.copy(startedUnixMillis = 1, isLeaving = true)
                val later = SOUND.copy(startedUnixMillis = 2)
                DuplicateEntries().resolve(earlier, later) shouldBe listOf(later)
                DuplicateEntries().resolve(later, earlier) shouldBe listOf(later)
            }
            it("are decided for the one that is leaving, if they differ in nothing else") {
                val leaving = SOUND.copy(isLeaving = true)
                DuplicateEntries().resolve(SOUND, leaving) shouldBe listOf(leaving)
            }
            it("are decided for another address when the upstream was not found at the first") {
                val entries = DuplicateEntries()
                entries.resolve(ELSEWHERE, SOUND) shouldBe listOf(ELSEWHERE)
                entries.recordNotFound(SOUND.id, ELSEWHERE.address)
                repeat(3) { entries.resolve(ELSEWHERE, SOUND, OTHER) shouldBe listOf(SOUND, OTHER) }
                entries.recordNotFound(SOUND.id, SOUND.address)
                entries.resolve(ELSEWHERE, SOUND) shouldBe listOf(ELSEWHERE)
            }
        }
        describe("a list without duplicates") {
            it("stays as it is") {
                val entries = DuplicateEntries()
                entries.recordNotFound(SOUND.id, SOUND.address)
                entries.resolve(SOUND, OTHER) shouldBe listOf(SOUND, OTHER)
            }
        }
    })
