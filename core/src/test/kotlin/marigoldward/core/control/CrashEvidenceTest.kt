package marigoldward.core.control

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import marigoldward.core.model.UpstreamId
import kotlin.random.Random

private val DEADLY = Fingerprint.parse("dead")
private val SHARED = Fingerprint.parse("51a2ed")

private fun fingerprint(number: Int): Fingerprint = Fingerprint.parse("0" + number.toString(16))

private class EvidenceLog {
    var state = ControlState.EMPTY
    private var index = 0L

    val Fingerprint.crashes: Int get() = state.suspects[this]?.crashes?.size ?: 0

    /** Reports a crash with the requests that were lost, each by its fingerprints, by a reporter that knows nothing. */
    fun reportUninformed(upstream: String, vararg requests: List<Fingerprint>) =
        report(upstream, requests.toList()) { 0 }

    /** Reports a crash as a reporter that knows the present state. */
    fun reportInformed(upstream: String, vararg requests: List<Fingerprint>) {
        val before = state
        report(upstream, requests.toList()) { before.suspects[it]?.crashes?.size ?: 0 }
    }

    /** Reports a crash as a reporter that knew the present state when it sent the requests. */
    fun reportResent(upstream: String, vararg requests: List<Fingerprint>) {
        val before = state
        report(upstream, requests.toList(), sent = { before.suspects[it]?.crashes?.size ?: 0 }) {
            before.suspects[it]?.crashes?.size ?: 0
        }
    }

    /** Reports a crash as a reporter that knew of [sent] crashes when it sent the request, and knows the present state. */
    fun reportSent(upstream: String, request: List<Fingerprint>, sent: (Fingerprint) -> Int) {
        val before = state
        report(upstream, listOf(request), sent) { before.suspects[it]?.crashes?.size ?: 0 }
    }

    /** Reports the crash of a start of an upstream as a reporter that knew of no crash when it sent the request. */
    fun reportStart(upstream: String, startedUnixMillis: Long, request: List<Fingerprint>) {
        val suspects = request.map { LostRequest.Suspect(it, state.suspects[it]?.crashes?.size ?: 0) }
        val lost = listOf(LostRequest(suspects))
        apply(ControlCommand.ReportCrash(UpstreamId.parse(upstream), lost, startedUnixMillis))
    }

    fun clear(fingerprint: Fingerprint) = apply(ControlCommand.ClearSuspects(listOf(fingerprint)))

    fun retryQuarantined() = state.quarantine.keys.forEach { apply(ControlCommand.RetryQuarantined(it)) }

    fun release(fingerprint: Fingerprint) = apply(ControlCommand.ReleaseQuarantine(fingerprint))

    /** Whether a request with [fingerprints] is refused. */
    fun isRefused(vararg fingerprints: List<Fingerprint>): Boolean = fingerprints.all { request ->
        request.any { fingerprint ->
            val suspicion = state.suspects[fingerprint]
            suspicion != null && fingerprint in state.quarantine && request.containsAll(suspicion.common)
        }
    }

    private fun report(
        upstream: String,
        requests: List<List<Fingerprint>>,
        sent: (Fingerprint) -> Int = { 0 },
        known: (Fingerprint) -> Int,
    ) {
        val lost = requests.map { request -> LostRequest(request.map { LostRequest.Suspect(it, known(it), sent(it)) }) }
        apply(ControlCommand.ReportCrash(UpstreamId.parse(upstream), lost))
    }

    private fun apply(command: ControlCommand) {
        state = ControlStateMachine.apply(state, ++index, command).state
    }
}

class CrashEvidenceTest :
    DescribeSpec({
        describe("an upstream that crashes, starts again under its id and crashes again") {
            // Guards against crashes of several starts that count as one, so that their cause is not quarantined.
            it("crashes once a start, though the lost requests were sent before the crash before was known") {
                val log = EvidenceLog()
                (1L..3).forEach { log.reportStart("a", it, listOf(DEADLY)) }
                with(log) { DEADLY.crashes } shouldBe 3
                log.isRefused(listOf(DEADLY)) shouldBe true
            }
            it("crashes once, however often the crash of one start is reported") {
                val log = EvidenceLog()
                repeat(4) { log.reportStart("a", 1, listOf(DEADLY)) }
                with(log) { DEADLY.crashes } shouldBe 1
            }
            it("crashes under other fingerprints in other starts, which explain different crashes") {
                val log = EvidenceLog()
                listOf("a", "b", "c").forEach { log.reportStart(it, 1, listOf(DEADLY)) }
                listOf("a", "b", "c").forEach { log.reportStart(it, 2, listOf(SHARED)) }
                log.isRefused(listOf(DEADLY)) shouldBe true
                log.isRefused(listOf(SHARED)) shouldBe true
            }
        }
        describe("a fingerprint under which upstreams crash") {
            it("is quarantined at the third crash, each reported with knowledge of the one before") {
                val log = EvidenceLog()
                log.reportInformed("a", listOf(DEADLY))
                log.reportInformed("b", listOf(DEADLY))
                log.isRefused(listOf(DEADLY)) shouldBe false
                log.reportInformed("c", listOf(DEADLY))
                log.isRefused(listOf(DEADLY)) shouldBe true
                log.state.quarantine.keys shouldContainExactly setOf(DEADLY)
            }
            it("counts upstreams that crash together once") {
                val log = EvidenceLog()
                listOf("a", "b", "c", "d").forEach { log.reportUninformed(it, listOf(SHARED)) }
                with(log) { SHARED.crashes } shouldBe 1
            }
            it("counts the crash of an upstream once, however many instances report it") {
                val log = EvidenceLog()
                repeat(4) { log.reportInformed("a", listOf(SHARED, fingerprint(it))) }
                with(log) { SHARED.crashes } shouldBe 1
            }
            // Guards against a request that crashes the same few upstreams, which keep their ids, without end.
            it("is quarantined at the third crash of one upstream, each under a request sent after the one before") {
                val log = EvidenceLog()
                repeat(2) { log.reportResent("a", listOf(DEADLY)) }
                log.isRefused(listOf(DEADLY)) shouldBe false
                log.reportResent("a", listOf(DEADLY))
                log.isRefused(listOf(DEADLY)) shouldBe true
            }
            it("counts a crash of an upstream that started again once, however many instances report it") {
                val log = EvidenceLog()
                log.reportResent("a", listOf(DEADLY, SHARED))
                val sentAfterFirst = { _: Fingerprint -> 1 }
                repeat(4) { log.reportSent("a", listOf(DEADLY, fingerprint(it)), sentAfterFirst) }
                with(log) { DEADLY.crashes } shouldBe 2
                log.state.suspects.getValue(DEADLY).crashes.map { it.boot } shouldBe listOf(0, 1)
            }
            it("explains the crashes of an upstream that starts again under its id for each of its starts alone") {
                val log = EvidenceLog()
                repeat(3) { log.reportResent("a", listOf(DEADLY)) }
                repeat(3) { log.reportResent("a", listOf(SHARED)) }
                log.isRefused(listOf(DEADLY)) shouldBe true
                log.isRefused(listOf(SHARED)) shouldBe true
            }
            it("is cleared by a complete answer, and released by an operator, also after its quarantine") {
                val log = EvidenceLog()
                log.reportInformed("a", listOf(SHARED))
                log.reportInformed("b", listOf(SHARED))
                log.clear(SHARED)
                listOf("c", "d", "e").forEach { log.reportInformed(it, listOf(SHARED)) }
                log.isRefused(listOf(SHARED)) shouldBe true
                log.clear(SHARED)
                log.isRefused(listOf(SHARED)) shouldBe false
                listOf("f", "g", "h").forEach { log.reportInformed(it, listOf(SHARED)) }
                log.release(SHARED)
                log.isRefused(listOf(SHARED)) shouldBe false
                log.state.suspects.isEmpty() shouldBe true
            }
            it("gives the state a new version with each change and with nothing else") {
                val log = EvidenceLog()
                log.reportInformed("a", listOf(DEADLY))
                log.state.quarantineVersion shouldBe 1
                log.reportInformed("a", listOf(DEADLY))
                log.clear(SHARED)
                log.state.quarantineVersion shouldBe 1
                log.clear(DEADLY)
                log.state.quarantineVersion shouldBe 2
            }
        }
        describe("fingerprints that were lost together in every crash") {
            // Guards against refusing sound requests that share a part with the deadly ones.
            it("are refused only together, until an answer shows that one of them is harmless") {
                val log = EvidenceLog()
                repeat(3) { log.reportInformed("u-$it", listOf(SHARED, DEADLY, fingerprint(it))) }
                log.isRefused(listOf(SHARED, DEADLY, fingerprint(9))) shouldBe true
                log.isRefused(listOf(SHARED, fingerprint(9))) shouldBe false
                log.isRefused(listOf(DEADLY)) shouldBe false
                log.clear(SHARED)
                log.isRefused(listOf(SHARED)) shouldBe false
                log.isRefused(listOf(DEADLY)) shouldBe true
            }
            it("are told apart by a crash under one of them, also after the quarantine") {
                val log = EvidenceLog()
                repeat(3) { log.reportInformed("u-$it", listOf(SHARED, DEADLY)) }
                log.reportInformed("u-3", listOf(DEADLY, fingerprint(1)))
                log.isRefused(listOf(DEADLY)) shouldBe true
                log.isRefused(listOf(SHARED)) shouldBe false
            }
            it("stay together if another request with one of them is lost in the same crash") {
                val log = EvidenceLog()
                repeat(3) {
                    log.reportInformed("u-$it", listOf(SHARED, fingerprint(it)), listOf(SHARED, DEADLY))
                }
                log.isRefused(listOf(SHARED, fingerprint(9))) shouldBe false
                log.isRefused(listOf(SHARED, DEADLY)) shouldBe true
            }
        }
        describe("a trial after a quarantine") {
            it("ends with the next crash, and the next quarantine lasts twice as long") {
                val log = EvidenceLog()
                repeat(4) { log.reportInformed("u-$it", listOf(SHARED, DEADLY)) }
                val before = log.state.suspects.getValue(log.state.quarantine.keys.single())
                log.retryQuarantined()
                log.isRefused(listOf(SHARED, DEADLY)) shouldBe false
                log.reportInformed("v", listOf(SHARED, DEADLY))
                log.isRefused(listOf(SHARED, DEADLY)) shouldBe true
                val after = log.state.suspects.getValue(log.state.quarantine.keys.single())
                after.quarantineMillis shouldBe 2 * before.quarantineMillis
            }
            it("ends the suspicion if the next request is answered") {
                val log = EvidenceLog()
                repeat(3) { log.reportInformed("u-$it", listOf(SHARED)) }
                log.retryQuarantined()
                log.clear(SHARED)
                log.state.suspects.isEmpty() shouldBe true
                log.state.quarantine.isEmpty() shouldBe true
            }
        }
        describe("many suspects") {
            it("push out the oldest of those with the fewest crashes") {
                val log = EvidenceLog()
                log.reportInformed("a", listOf(DEADLY))
                log.reportInformed("b", listOf(DEADLY))
                repeat(2_000) { log.reportInformed("c-$it", listOf(fingerprint(it))) }
                with(log) { DEADLY.crashes } shouldBe 2
                log.state.suspects.size shouldBe 256
                (fingerprint(1_999) in log.state.suspects) shouldBe true
            }
        }
        describe("a deadly part among requests that share their other parts, in 500 random days") {
            it("is refused after a few crashes, and requests without it are not") {
                repeat(500) { seed ->
                    val random = Random(seed)
                    val log = EvidenceLog()
                    val firstParts = List(1 + random.nextInt(3)) { fingerprint(100 + it) }
                    var crashes = 0
                    repeat(60) { step ->
                        val deadly = listOf(firstParts.random(random), DEADLY, fingerprint(1_000 + step))
                        if (!log.isRefused(deadly)) {
                            crashes++
                            val bystanders = List(random.nextInt(4)) {
                                listOf(
                                    firstParts.random(random),
                                    fingerprint(random.nextInt(8)),
                                    fingerprint(
                                        10_000 + step * 10 + it,
                                    ),
                                )
                            }.filterNot { log.isRefused(it) }
                            log.reportInformed("u-$step", deadly, *bystanders.toTypedArray())
                        }
                        val sound = listOf(firstParts.random(random), fingerprint(random.nextInt(8)))
                        if (random.nextInt(4) == 0 && !log.isRefused(sound)) sound.forEach(log::clear)
                    }
                    withClue("seed $seed, crashes $crashes, quarantine ${log.state.quarantine}") {
                        (crashes <= 3 + firstParts.size) shouldBe true
                        firstParts.forEach { part -> log.isRefused(listOf(part, fingerprint(99))) shouldBe false }
                    }
                }
            }
        }
    })
