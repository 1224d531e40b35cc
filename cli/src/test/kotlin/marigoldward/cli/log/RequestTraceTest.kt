package marigoldward.cli.log

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain

private fun trace(id: String, vararg texts: String): RequestTrace =
    RequestTrace.fromLines(id, texts.mapNotNull { LogLine.parseOrNull("entry-1", it) })

private fun line(time: String, event: String, fields: String): String =
    "   0.2 front-1 time=2026-08-30T10:40:$time level=INFO logger=session event=$event $fields"

class RequestTraceTest :
    DescribeSpec({
        describe("a line of a log") {
            it("is read whatever stands before it, with its quoted fields whole") {
                val read = LogLine.parseOrNull(
                    "entry-1",
                    line("20.218Z", "attempt_ended", """request=1 reason="time over""""),
                )
                read?.event shouldBe "attempt_ended"
                read?.get("reason") shouldBe "time over"
            }
            it("is left out if it is none") {
                listOf("", "java.lang.Error: x", "event=started", "time=yesterday event=started").forEach {
                    LogLine.parseOrNull("entry-1", it).shouldBeNull()
                }
            }
        }
        describe("the cause of a request's end") {
            it("is the time over at an upstream, and whether that failed others too") {
                val cause =
                    trace(
                        "a1",
                        line("20.100Z", "sent", "request=a1 step=whole upstream=i-1 left_ms=400"),
                        line(
                            "20.200Z",
                            "attempt_ended",
                            """request=b2 upstream=i-1 end=silent reason="nothing came"""",
                        ),
                        line(
                            "20.500Z",
                            "attempt_ended",
                            """request=a1 upstream=i-1 end=cancelled reason="time over"""",
                        ),
                        line(
                            "20.501Z",
                            "ended",
                            "request=a1 route=r outcome=timed_out status=504 first_ms=none took_ms=401",
                        ),
                    ).cause()
                cause shouldContain
                    "its time was over; it was at upstream i-1 for 401 ms, which failed 1 others meanwhile"
            }
            it("is the reason of a refusal, beside what the entry believed then") {
                val refused =
                    trace(
                        "a1",
                        line("19.000Z", "directory_changed", "upstreams=0 age_ms=20"),
                        line("20.100Z", "ended", "request=a1 route=r outcome=not_run_none_usable status=503"),
                    )
                refused.cause() shouldBe "it was refused and has not run: none usable"
                refused.describe()[1] shouldContain
                    "believed event=directory_changed age_ms=1100 {upstreams=0, age_ms=20}"
            }
            it("is the version of the routes that do not match") {
                trace("a1", line("20.100Z", "rejected", "request=a1 reason=no_route routes_version=7")).cause() shouldBe
                    "rejected: no_route at version 7 of the routes"
            }
            it("is the engine at which a late answer spent its time") {
                trace(
                    "a1",
                    line("20.000Z", "sent", "request=a1 step=prefill upstream=i-1 tokens=287"),
                    line("21.500Z", "sent", "request=a1 step=decode upstream=i-2 tokens=1"),
                    line(
                        "21.700Z",
                        "ended",
                        "request=a1 outcome=answered status=200 first_ms=1550 pause_ms=52 took_ms=1700",
                    ),
                ).cause() shouldContain "it spent 1500 ms at upstream i-1 (prefill)"
            }
            it("is not known before the request has ended") {
                trace("a1", line("20.000Z", "sent", "request=a1 step=whole upstream=i-1")).cause() shouldContain
                    "no end"
            }
        }
        describe("a request that the logs don't have") {
            it("is not known") {
                trace("a1", line("20.000Z", "sent", "request=b2 upstream=i-1")).isKnown shouldBe false
            }
        }
    })
