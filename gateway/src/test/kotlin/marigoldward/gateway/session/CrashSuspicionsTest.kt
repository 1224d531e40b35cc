package marigoldward.gateway.session

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import marigoldward.core.control.Fingerprint
import marigoldward.core.control.LostRequest
import marigoldward.core.dispatch.PromptPart
import marigoldward.core.model.UpstreamId
import marigoldward.gateway.message.Headers
import marigoldward.gateway.message.RequestHead
import marigoldward.wire.feed.CrashCounts

private val DEADLY = Fingerprint.parse("dead")
private val SHARED = Fingerprint.parse("51a2ed")
private val UPSTREAM = UpstreamId.parse("upstream")

private fun counts(version: Long, crashes: Map<Fingerprint, Int>): CrashCounts =
    CrashCounts(version, crashes.map { CrashCounts.Entry(it.key, it.value) })

private fun quarantine(version: Long, fingerprints: List<Fingerprint>): CrashCounts =
    CrashCounts(version, listOf(CrashCounts.Entry(DEADLY, 3, CrashCounts.Quarantined(fingerprints))))

class CrashSuspicionsTest :
    DescribeSpec({
        describe("the report of a crash") {
            it("names all requests that were lost with an upstream, with the crashes that were known at that time") {
                val suspicions = CrashSuspicions()
                suspicions.update(counts(1, mapOf(DEADLY to 2)), nowMillis = 0)
                suspicions.recordCrash(UPSTREAM, listOf(DEADLY), emptyMap())
                suspicions.update(counts(2, mapOf(DEADLY to 3)), nowMillis = 0)
                suspicions.recordCrash(UPSTREAM, listOf(DEADLY, SHARED), mapOf(DEADLY to 1))
                val crash = suspicions.takeReportOrNull().shouldNotBeNull().crashes.single()
                crash.upstream shouldBe UPSTREAM
                crash.requests shouldBe listOf(
                    LostRequest(listOf(LostRequest.Suspect(DEADLY, 2))),
                    LostRequest(listOf(LostRequest.Suspect(DEADLY, 3, 1), LostRequest.Suspect(SHARED, 0))),
                )
                suspicions.takeReportOrNull().shouldBeNull()
            }
            it("is sent again if it could not be delivered") {
                val suspicions = CrashSuspicions()
                suspicions.recordCrash(UPSTREAM, listOf(DEADLY), emptyMap())
                val report = suspicions.takeReportOrNull().shouldNotBeNull()
                suspicions.restore(report)
                suspicions.takeReportOrNull() shouldBe report
            }
            it("is bounded") {
                val suspicions = CrashSuspicions()
                repeat(200) { crash ->
                    repeat(500) { request ->
                        val fingerprint = Fingerprint.parse((crash * 500 + request).toString(16))
                        suspicions.recordCrash(UpstreamId.parse("u-$crash"), listOf(fingerprint), emptyMap())
                    }
                }
                val report = suspicions.takeReportOrNull().shouldNotBeNull()
                report.crashes.size shouldBe 64
                report.crashes.maxOf { it.requests.size } shouldBe 64
                report.crashes.last().upstream.text shouldBe "u-199"
            }
        }
        describe("a part that was answered") {
            it("is cleared at once if it is suspected within 30 s, and later only by another answer") {
                val suspicions = CrashSuspicions()
                suspicions.recordAnswered(listOf(SHARED), emptyList(), nowMillis = 0)
                suspicions.update(counts(1, mapOf(SHARED to 1, DEADLY to 1)), nowMillis = 29_000)
                suspicions.takeReportOrNull().shouldNotBeNull().answered shouldContainExactly listOf(SHARED)
                suspicions.update(counts(2, mapOf(SHARED to 2, DEADLY to 1)), nowMillis = 31_000)
                suspicions.takeReportOrNull().shouldBeNull()
                suspicions.recordAnswered(listOf(SHARED), listOf(SHARED), nowMillis = 32_000)
                suspicions.takeReportOrNull().shouldNotBeNull().answered shouldContainExactly listOf(SHARED)
            }
            it("is not cleared by an answer that began before the crash was known") {
                val suspicions = CrashSuspicions()
                val suspectsAtFirstEvent = suspicions.suspectsAmong(listOf(DEADLY))
                suspicions.update(counts(1, mapOf(DEADLY to 1)), nowMillis = 0)
                suspicions.recordAnswered(emptyList(), suspectsAtFirstEvent, nowMillis = 100)
                suspicions.takeReportOrNull().shouldBeNull()
            }
        }
        describe("a quarantine of fingerprints that were lost together") {
            it("holds only for requests that have all of them") {
                val suspicions = CrashSuspicions()
                suspicions.update(quarantine(1, listOf(SHARED, DEADLY)), nowMillis = 0)
                suspicions.quarantinedOrNull(listOf(DEADLY)).shouldBeNull()
                suspicions.quarantinedOrNull(listOf(SHARED)).shouldBeNull()
                suspicions.quarantinedOrNull(listOf(SHARED, DEADLY)) shouldBe DEADLY
            }
        }
        describe("crash counts") {
            it("of an older state than the last ones are ignored, so that a quarantine holds behind a network cut") {
                val suspicions = CrashSuspicions()
                suspicions.update(quarantine(5, listOf(DEADLY)), nowMillis = 0)
                suspicions.update(counts(4, emptyMap()), nowMillis = 0)
                suspicions.quarantinedOrNull(listOf(SHARED, DEADLY)) shouldBe DEADLY
                suspicions.update(counts(6, emptyMap()), nowMillis = 0)
                suspicions.quarantinedOrNull(listOf(SHARED, DEADLY)).shouldBeNull()
                suspicions.suspectsAmong(listOf(SHARED, DEADLY)).shouldBeEmpty()
            }
        }
        describe("the fingerprint of a request") {
            it("depends on its host, its target and its body only") {
                val head = RequestHead("POST", "/a/b", Headers.of("Host" to "h", "X-Id" to "1"))
                val other = RequestHead("POST", "/a/b", Headers.of("X-Id" to "2", "Host" to "h"))
                val body = "body".toByteArray()
                RequestFingerprints.of(head, body) shouldBe RequestFingerprints.of(other, body)
                RequestFingerprints.of(head, body) shouldNotBe RequestFingerprints.of(head, "b".toByteArray())
                RequestFingerprints.of(head, body) shouldNotBe RequestFingerprints.of(head.copy(target = "/a"), body)
                RequestFingerprints.of(PromptPart("a", 1)) shouldBe RequestFingerprints.of(PromptPart("a", 2))
            }
        }
    })
