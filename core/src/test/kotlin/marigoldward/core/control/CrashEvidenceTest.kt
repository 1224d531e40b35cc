package marigoldward.core.control

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import marigoldward.core.model.UpstreamId
import kotlin.random.Random

private val DEADLY = Fingerprint.parse("dead")
private val SHARED = Fingerprint.parse("51a2ed")

private class EvidenceLog {
    var state = ControlState.EMPTY
    private var index = 0L

    fun reportCrash(upstream: String, vararg suspects: Pair<Fingerprint, Int>) = apply(
        ControlCommand.ReportCrash(UpstreamId.parse(upstream), suspects.map { CrashSuspect(it.first, it.second) }),
    )

    /** Reports a crash by a reporter that knows the present state. */
    fun reportInformed(upstream: String, fingerprints: List<Fingerprint>) {
        val counts = state.crashCounts
        reportCrash(upstream, *fingerprints.map { it to (counts[it] ?: 0) }.toTypedArray())
    }

    fun reportInformed(upstream: String, fingerprint: Fingerprint) = reportInformed(upstream, listOf(fingerprint))

    fun clear(fingerprint: Fingerprint) = apply(ControlCommand.ClearSuspects(listOf(fingerprint)))

    private fun apply(command: ControlCommand) {
        state = ControlStateMachine.apply(state, ++index, command).state
    }
}

class CrashEvidenceTest :
    DescribeSpec({
        describe("a fingerprint under which upstreams crash") {
            it("is quarantined at the third crash, each reported with knowledge of the one before") {
                val log = EvidenceLog()
                log.reportInformed("a", DEADLY)
                log.reportInformed("b", DEADLY)
                log.state.quarantine.isEmpty() shouldBe true
                log.reportInformed("c", DEADLY)
                log.state.quarantine.keys shouldContainExactly setOf(DEADLY)
                log.state.suspects.isEmpty() shouldBe true
            }
            it("counts upstreams that crash together once") {
                val log = EvidenceLog()
                listOf("a", "b", "c", "d").forEach { log.reportCrash(it, SHARED to 0) }
                log.state.crashCounts[SHARED] shouldBe 1
            }
            it("counts the crash of an upstream once, however many instances report it") {
                val log = EvidenceLog()
                repeat(4) { log.reportInformed("a", SHARED) }
                log.state.crashCounts[SHARED] shouldBe 1
            }
            it("is cleared by a complete answer, also after its quarantine") {
                val log = EvidenceLog()
                log.reportInformed("a", SHARED)
                log.reportInformed("b", SHARED)
                log.clear(SHARED)
                log.reportInformed("c", SHARED)
                log.state.crashCounts[SHARED] shouldBe 1
                log.reportInformed("d", SHARED)
                log.reportInformed("e", SHARED)
                log.state.quarantine.keys shouldContainExactly setOf(SHARED)
                log.clear(SHARED)
                log.state.crashCounts.isEmpty() shouldBe true
            }
            it("gives the state a new version with each change and with nothing else") {
                val log = EvidenceLog()
                log.reportInformed("a", DEADLY)
                log.state.quarantineVersion shouldBe 1
                log.reportInformed("a", DEADLY)
                log.clear(SHARED)
                log.state.quarantineVersion shouldBe 1
                log.clear(DEADLY)
                log.state.quarantineVersion shouldBe 2
            }
        }
        describe("many suspects") {
            it("push out the oldest of those with the fewest crashes") {
                val log = EvidenceLog()
                log.reportInformed("a", DEADLY)
                log.reportInformed("b", DEADLY)
                repeat(2_000) { log.reportInformed("c-$it", Fingerprint.parse(it.toString(16))) }
                log.state.crashCounts[DEADLY] shouldBe 2
                log.state.suspects.size shouldBe 256
                (Fingerprint.parse(1_999.toString(16)) in log.state.suspects) shouldBe true
            }
        }
        describe("a deadly part among requests that share their other parts, in 1,000 random days") {
            it("is the only one that stays in quarantine") {
                repeat(1_000) { seed ->
                    val random = Random(seed)
                    val log = EvidenceLog()
                    repeat(40) { crash ->
                        val bystanders = List(random.nextInt(6)) { Fingerprint.parse("b${random.nextInt(8)}") }
                        log.reportInformed("u-$crash", listOf(DEADLY, SHARED) + bystanders.distinct())
                        log.clear(SHARED)
                        repeat(8) { if (random.nextBoolean()) log.clear(Fingerprint.parse("b$it")) }
                    }
                    (0..7).forEach { log.clear(Fingerprint.parse("b$it")) }
                    log.state.quarantine.keys shouldContainExactly setOf(DEADLY)
                }
            }
        }
    })
