package marigoldward.cli.log

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain

private fun trace(id: String, vararg texts: String): RequestTrace =
    RequestTrace.fromLines(id, texts.mapNotNull { LogLine.parseOrNull("entry-1", it) })

private fun entryLogLine(time: String, event: String, fields: String): String =
    "   0.2 front-1 time=2026-08-30T10:40:$time level=INFO logger=session event=$event $fields"

class RequestTraceTest :
    DescribeSpec({
        describe("a log line") {
            it("is parsed after a prefix, with spaces inside quoted fields") {
                val read = LogLine.parseOrNull(
                    "entry-1",
                    entryLogLine("20.218Z", "attempt_ended", """request=1 reason="time over""""),
                )
                read?.event shouldBe "attempt_ended"
                read?.get("reason") shouldBe "time over"
            }
            it("is not parsed from text without an event or a valid time") {
                listOf("", "java.lang.Error: x", "event=started", "time=yesterday event=started").forEach {
                    LogLine.parseOrNull("entry-1", it).shouldBeNull()
                }
            }
        }
        describe("the cause of the end of a request") {
            it("names the upstream at which the time ran out and how many other requests failed there") {
                val cause =
                    trace(
                        "a1",
                        entryLogLine("20.100Z", "sent", "request=a1 step=whole upstream=i-1 left_ms=400"),
                        entryLogLine(
                            "20.200Z",
                            "attempt_ended",
                            """request=b2 upstream=i-1 end=silent reason="nothing came"""",
                        ),
                        entryLogLine(
                            "20.500Z",
                            "attempt_ended",
                            """request=a1 upstream=i-1 end=cancelled reason="time over"""",
                        ),
                        entryLogLine(
                            "20.501Z",
                            "ended",
                            "request=a1 route=r outcome=timed_out status=504 first_ms=none took_ms=401",
                        ),
                    ).cause()
                cause shouldContain
                    "its time was over; it was at upstream i-1 for 401 ms, which failed 1 others meanwhile"
            }
            it("gives the reason of a refusal, and the description shows the last directory state before it") {
                val refused =
                    trace(
                        "a1",
                        entryLogLine("19.000Z", "directory_changed", "upstreams=0 age_ms=20"),
                        entryLogLine("20.100Z", "ended", "request=a1 route=r outcome=not_run_none_usable status=503"),
                    )
                refused.cause() shouldBe "it was refused and has not run: none usable"
                refused.describe()[1] shouldContain
                    "believed event=directory_changed age_ms=1100 {upstreams=0, age_ms=20}"
            }
            it("gives the version of the routes if none matched") {
                trace(
                    "a1",
                    entryLogLine("20.100Z", "rejected", "request=a1 reason=no_route routes_version=7"),
                ).cause() shouldBe
                    "rejected: no_route at version 7 of the routes"
            }
            it("names the engine at which an answered request waited longest") {
                trace(
                    "a1",
                    entryLogLine("20.000Z", "sent", "request=a1 step=prefill upstream=i-1 tokens=287"),
                    entryLogLine("21.500Z", "sent", "request=a1 step=decode upstream=i-2 tokens=1"),
                    entryLogLine(
                        "21.700Z",
                        "ended",
                        "request=a1 outcome=answered status=200 first_ms=1550 pause_ms=52 took_ms=1700",
                    ),
                ).cause() shouldContain "it spent 1500 ms at upstream i-1 (prefill)"
            }
            it("says that the logs have no end while the request is running") {
                trace("a1", entryLogLine("20.000Z", "sent", "request=a1 step=whole upstream=i-1")).cause() shouldContain
                    "no end"
            }
        }
        describe("a request that is not in the logs") {
            it("is not known") {
                trace("a1", entryLogLine("20.000Z", "sent", "request=b2 upstream=i-1")).isKnown shouldBe false
            }
        }
    })
