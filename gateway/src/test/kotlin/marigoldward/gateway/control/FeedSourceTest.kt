package marigoldward.gateway.control

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import marigoldward.core.model.DataCentre
import marigoldward.core.model.InstanceId
import marigoldward.gateway.control.FeedStep.Close
import marigoldward.gateway.control.FeedStep.Follow
import marigoldward.gateway.control.FeedStep.Open
import java.util.TreeSet

private val OWN_DATA_CENTRE = DataCentre.parse("here")
private val OTHER_DATA_CENTRE = DataCentre.parse("there")
private val A = InstanceId.parse("10.0.0.1")
private val B = InstanceId.parse("10.0.0.2")
private val C = InstanceId.parse("10.0.0.3")
private val D = InstanceId.parse("10.0.0.4")

private fun source(seeds: List<InstanceId>, firstChoice: Int = 0): FeedSource =
    FeedSource(OWN_DATA_CENTRE, firstChoice).apply { changeSeeds(seeds) }

private fun FeedSource.update(
    instance: InstanceId,
    nowMillis: Long,
    staleMillis: Long = 0,
    dataCentre: DataCentre = OWN_DATA_CENTRE,
    members: List<InstanceId> = emptyList(),
): List<FeedStep> = recordUpdate(instance, dataCentre, members, staleMillis, nowMillis)

/** Returns a source that follows [A] with an update at 0 ms, and knows [others]. */
private fun following(others: List<InstanceId> = emptyList()): FeedSource = source(listOf(A) + others).apply {
    advance(0)
    update(A, 0)
}

class FeedSourceTest :
    DescribeSpec({
        describe("feed source") {
            describe("that follows a fresh instance in its own data centre") {
                it("stays with it, with no other stream") {
                    val source = source(listOf(A, B))
                    source.advance(0) shouldContainExactly listOf(Open(A))
                    source.update(A, 100, staleMillis = 100, members = listOf(A, B)) shouldContainExactly
                        listOf(Follow(A))
                    source.isFresh(200) shouldBe true
                    source.advance(200).shouldBeEmpty()
                    source.update(A, 500).shouldBeEmpty()
                    source.advance(1_100).shouldBeEmpty()
                }
            }
            describe("that follows an instance in another data centre") {
                it("stays with it until another has proved to be in its own and fresh") {
                    val source = source(listOf(A, B))
                    source.advance(0)
                    source.update(A, 100, dataCentre = OTHER_DATA_CENTRE) shouldContainExactly
                        listOf(Follow(A), Open(B))
                    source.isFresh(150) shouldBe true
                    source.update(B, 200) shouldContainExactly listOf(Close(A), Follow(B))
                    source.current shouldBe B
                }
                it("tries each other one only once") {
                    val source = source(listOf(A, B))
                    source.advance(0)
                    source.update(A, 100, dataCentre = OTHER_DATA_CENTRE)
                    source.update(B, 200, dataCentre = OTHER_DATA_CENTRE) shouldContainExactly listOf(Close(B))
                    source.current shouldBe A
                    source.isFresh(300) shouldBe true
                    source.advance(300).shouldBeEmpty()
                }
                // Guards against an entry that is without updates while it tries a closer instance that doesn't answer.
                it("stays fresh while one that might be closer does not answer, and gives that up") {
                    val source = source(listOf(A, B))
                    source.advance(0)
                    source.update(A, 0, dataCentre = OTHER_DATA_CENTRE) shouldContain Open(B)
                    source.update(A, 400, dataCentre = OTHER_DATA_CENTRE).shouldBeEmpty()
                    source.update(A, 800, dataCentre = OTHER_DATA_CENTRE).shouldBeEmpty()
                    source.update(A, 1_200, dataCentre = OTHER_DATA_CENTRE) shouldContainExactly listOf(Close(B))
                    source.isFresh(1_200) shouldBe true
                }
            }
            describe("whose instance sends nothing") {
                it("searches before the known state is outdated, and stays if updates come again") {
                    val source = following(listOf(B))
                    source.advance(600).shouldBeEmpty()
                    source.advance(700) shouldContainExactly listOf(Open(B))
                    source.isFresh(700) shouldBe true
                    source.update(A, 750) shouldContainExactly listOf(Close(B))
                    source.current shouldBe A
                }
                it("leaves it after the time of two heartbeats at the latest") {
                    val source = following(listOf(B))
                    source.advance(700)
                    source.isFresh(999) shouldBe true
                    source.isFresh(1_000) shouldBe false
                    source.update(B, 1_000) shouldContainExactly listOf(Close(A), Follow(B))
                    source.isFresh(1_000) shouldBe true
                }
                it("connects to it again if it knows no other") {
                    val source = following()
                    source.advance(700).shouldBeEmpty()
                    source.advance(1_000) shouldContainExactly listOf(Close(A), Open(A))
                    source.update(A, 1_100)
                    source.isFresh(1_100) shouldBe true
                }
            }
            describe("whose instance sends outdated state, as after losing its leader") {
                it("leaves it for one with fresh state") {
                    val source = following(listOf(B))
                    source.update(A, 1_300, staleMillis = 1_200) shouldContainExactly listOf(Open(B))
                    source.isFresh(1_300) shouldBe false
                    source.update(B, 1_310) shouldContainExactly listOf(Close(A), Follow(B))
                }
                it("stays with it if the state of the others is outdated too, until the first has fresh state") {
                    val source = following(listOf(B, C))
                    source.update(A, 1_300, staleMillis = 1_200) shouldContainExactly listOf(Open(B))
                    source.update(B, 1_310, staleMillis = 1_300) shouldContainExactly listOf(Open(C))
                    source.update(C, 1_320, staleMillis = 1_300).shouldBeEmpty()
                    source.current shouldBe A
                    source.update(C, 1_720) shouldContainExactly listOf(Close(A), Follow(C), Close(B))
                }
            }
            describe("whose instance ends the stream") {
                // Guards against a refused or ended stream that is noticed only at the next call of the timer.
                it("tries the next one at once, and another at once when that refuses") {
                    val source = following(listOf(B, C))
                    source.recordEnded(A, 300) shouldContainExactly listOf(Open(B))
                    source.isFresh(300) shouldBe false
                    source.recordEnded(B, 301) shouldContainExactly listOf(Open(C))
                    source.update(C, 310) shouldContainExactly listOf(Follow(C))
                }
                it("does not connect to one that refuses more than twice a second") {
                    val source = following()
                    source.recordEnded(A, 300).shouldBeEmpty()
                    source.advance(799).shouldBeEmpty()
                    source.advance(800) shouldContainExactly listOf(Open(A))
                }
                it("follows one with outdated state meanwhile") {
                    val source = following(listOf(B, C))
                    source.recordEnded(A, 300)
                    source.update(B, 310, staleMillis = 5_000) shouldContainExactly listOf(Follow(B), Open(C))
                    source.isFresh(310) shouldBe false
                    source.update(C, 320) shouldContainExactly listOf(Close(B), Follow(C))
                }
            }
            describe("that searches") {
                it("asks one instance first and all others together when that does not answer") {
                    val source = following(listOf(B, C, D))
                    source.recordEnded(A, 300) shouldContainExactly listOf(Open(B))
                    source.advance(399).shouldBeEmpty()
                    source.advance(400) shouldContainExactlyInAnyOrder listOf(Open(C), Open(D))
                    source.update(D, 410) shouldContainExactly listOf(Follow(D), Close(B), Close(C))
                }
                it("asks first one in its own data centre") {
                    val source = following(listOf(B, C))
                    source.update(A, 1_300, staleMillis = 1_200)
                    source.update(B, 1_310, staleMillis = 1_200, dataCentre = OTHER_DATA_CENTRE)
                    source.update(C, 1_320, staleMillis = 1_200)
                    source.update(A, 1_400) shouldContainExactlyInAnyOrder listOf(Close(B), Close(C))
                    source.recordEnded(A, 2_000) shouldContainExactly listOf(Open(C))
                }
                it("asks last those that have failed") {
                    val source = following(listOf(B, C, D))
                    source.recordEnded(A, 300)
                    source.recordEnded(B, 301) shouldContainExactly listOf(Open(C))
                    source.update(C, 310) shouldContainExactly listOf(Follow(C))
                    source.recordEnded(C, 2_000) shouldContainExactly listOf(Open(D))
                }
                it("replaces a stream that does not answer, as its connection may be lost") {
                    val source = following(listOf(B))
                    source.recordEnded(A, 300) shouldContainExactly listOf(Open(B))
                    source.advance(1_200) shouldContainExactly listOf(Open(A))
                    source.advance(1_300) shouldContainExactly listOf(Close(B), Open(B))
                }
                it("has a bounded number of streams, and tries all instances in turn") {
                    val many = (1..40).map { InstanceId.parse("10.0.1.$it") }
                    val source = source(many)
                    val open = HashSet<InstanceId>()
                    val tried = HashSet<InstanceId>()
                    for (nowMillis in 0L..5_000L step 100) {
                        source.advance(nowMillis).forEach {
                            if (it is Open) open += it.instance else open -= it.instance
                        }
                        tried += open
                        open.size shouldBeLessThanOrEqual 16
                    }
                    tried shouldBe many.toSet()
                }
                it("follows instances known only from an update when the seeds have changed") {
                    val source = source(listOf(A))
                    source.advance(0)
                    source.update(A, 100, members = listOf(A, C))
                    source.changeSeeds(listOf(B))
                    val opened = source.recordEnded(A, 2_000) + source.advance(2_100)
                    opened shouldContainExactlyInAnyOrder listOf(Open(B), Open(C))
                }
                it("gives a process that starts more time before it asks several") {
                    val source = source(listOf(A, B, C), firstChoice = 1)
                    source.advance(0) shouldContainExactly listOf(Open(B))
                    source.advance(399).shouldBeEmpty()
                    source.advance(400) shouldHaveSize 2
                }
            }
            // Guards against a time to find a live instance that grows with the number of dead ones, or their order.
            describe("with any number of instances that do not answer, in any order") {
                for (deadCount in 0..14) {
                    it("has fresh state within the bound with $deadCount") {
                        (0..deadCount).forEach { delayMillis(deadCount, it) shouldBeLessThanOrEqual 1_300 }
                    }
                }
            }
        }
    })

/**
 * Returns the time from the last update of an instance that stops to the first of the only other live one, which is at
 * [position] among [deadCount] instances that accept connections and never answer. Connections take no time.
 */
private fun delayMillis(deadCount: Int, position: Int): Long {
    val dead = (1..deadCount).map { InstanceId.parse("10.0.1.$it") }
    val source = source(listOf(A) + dead.take(position) + B + dead.drop(position))
    source.advance(0)
    source.update(A, 0)
    // The timer of a gateway runs every 200 ms, and once after the head start of a search.
    val timerMillis = TreeSet((200L..10_000L step 200).toList())
    while (true) {
        val nowMillis = checkNotNull(timerMillis.pollFirst()) { "no fresh state within 10 s" }
        val steps = source.advance(nowMillis)
        if (Open(B) in steps) {
            source.update(B, nowMillis) shouldContain Follow(B)
            return nowMillis
        }
        if (steps.any { it is Open }) timerMillis += nowMillis + FeedSource.HEAD_START_MILLIS
    }
}
