package marigoldward.core.usage

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe

private const val DUE_MILLIS = 10_000L
private const val WINDOW = 1_000L
private const val START_MILLIS = WINDOW * 5_000
private const val END_MILLIS = START_MILLIS + 5_000

private fun report(vararg counts: Pair<Long, Long>, complete: Long? = null, isFull: Boolean = true) = UsageReport(
    counts.map { (window, count) -> UsageReport.Window(window, mapOf("small" to count)) },
    complete,
    isFull,
)

/** A ledger of which [WINDOW] is the first window. */
private fun started() = UsageLedger.empty(UsageWindows(5_000), DUE_MILLIS).started(WINDOW - 1, START_MILLIS)

class UsageLedgerTest :
    DescribeSpec({
        describe("a window") {
            it("is closed once all processes have reported it whole, with the sum of their counts") {
                val one = started().withReport(1, report(WINDOW to 3L, complete = WINDOW), 0)
                val both = one.withReport(2, report(WINDOW to 4L), 0)
                both.closedWindowOrNull(0, END_MILLIS + 100).shouldBeNull()
                val whole = both.withReport(2, report(WINDOW to 5L, complete = WINDOW), 50)
                whole.closedWindowOrNull(50, END_MILLIS + 150) shouldBe
                    UsageLedger.ClosedWindow(WINDOW, mapOf("small" to 8L), isWhole = true)
            }
            it("is not closed before its end, whatever processes state") {
                val ledger = started().withReport(1, report(WINDOW to 3L, complete = Long.MAX_VALUE), 0)
                ledger.closedWindowOrNull(0, END_MILLIS - 1).shouldBeNull()
            }
            // Guards against a total that is counted twice.
            it("has the last total of each process, however often it was reported") {
                val ledger = listOf(3L, 3L, 5L, 5L).fold(started()) { ledger, count ->
                    ledger.withReport(1, report(WINDOW to count, complete = WINDOW), 0)
                }
                ledger.closedWindowOrNull(0, END_MILLIS)?.counts shouldBe mapOf("small" to 5L)
            }
            it("is closed 3 s before its report is due though a process is late, and has no counts that come after") {
                val ledger = started()
                    .withReport(1, report(WINDOW to 3L, complete = WINDOW), 0)
                    .withReport(2, report(), 0)
                ledger.closedWindowOrNull(0, END_MILLIS + 6_999).shouldBeNull()
                val closed = ledger.closedWindowOrNull(0, END_MILLIS + 7_000)
                closed shouldBe UsageLedger.ClosedWindow(WINDOW, mapOf("small" to 3L), isWhole = false)
                val late = ledger.afterRecorded(WINDOW, 0)
                    .withReport(2, report(WINDOW to 4L, WINDOW + 1 to 1L, complete = WINDOW + 1), 0)
                    .withReport(1, report(complete = WINDOW + 1), 0)
                late.closedWindowOrNull(0, END_MILLIS + 7_000)?.counts shouldBe mapOf("small" to 1L)
            }
            it("has the counts of a process that is back after a cut, before the window is closed") {
                val cut = started()
                    .withReport(1, report(WINDOW to 3L, complete = WINDOW), 0)
                    .withReport(2, report(), -4_000)
                cut.closedWindowOrNull(0, END_MILLIS + 3_000).shouldBeNull()
                val back = cut.withReport(2, report(WINDOW to 40L, complete = WINDOW), 3_000)
                back.closedWindowOrNull(3_000, END_MILLIS + 3_000)?.counts shouldBe mapOf("small" to 43L)
            }
            // Guards against a successor that takes the changes since the last leader for all counts of a process.
            it("is not whole by a report of changes from a process that has not reported in full to this leader") {
                val changes = started().withReport(1, report(WINDOW to 1L, complete = WINDOW, isFull = false), 0)
                changes.closedWindowOrNull(0, END_MILLIS + 100).shouldBeNull()
                val full = changes.withReport(1, report(WINDOW to 9L, complete = WINDOW), 0)
                full.closedWindowOrNull(0, END_MILLIS + 100)?.counts shouldBe mapOf("small" to 9L)
            }
            it("is not closed while no process is heard of") {
                started().closedWindowOrNull(0, END_MILLIS + DUE_MILLIS).shouldBeNull()
                val silent = started().withReport(1, report(WINDOW to 3L), 0)
                silent.closedWindowOrNull(20_000, END_MILLIS + 20_000).shouldBeNull()
            }
        }

        describe("the first window") {
            // Guards against requests that began before the leader knew the time, after the first configuration.
            it("is the first one with a request, if none was ever recorded") {
                val ledger = UsageLedger.empty(UsageWindows(5_000), DUE_MILLIS)
                    .withReport(1, report(WINDOW - 1 to 2L, WINDOW to 1L), 0)
                ledger.started(null, START_MILLIS + 100).nextWindow shouldBe WINDOW - 1
            }
            it("is the present one without requests, or with requests at absurd times only") {
                val empty = UsageLedger.empty(UsageWindows(5_000), DUE_MILLIS)
                empty.started(null, START_MILLIS).nextWindow shouldBe WINDOW
                val absurd = empty.withReport(1, report(0L to 2L, Long.MAX_VALUE to 2L, Long.MIN_VALUE to 1L), 0)
                absurd.started(null, START_MILLIS).nextWindow shouldBe WINDOW
            }
            it("follows the recorded one and is never an earlier one") {
                val ledger = started().afterRecorded(WINDOW, 0)
                ledger.started(WINDOW - 5, START_MILLIS).nextWindow shouldBe WINDOW + 1
                ledger.started(WINDOW + 1, START_MILLIS).nextWindow shouldBe WINDOW + 2
            }
            // Guards against a flood of empty reports after a long time without workspaces.
            it("leaves out those without requests that are long overdue, and no others") {
                val laterMillis = END_MILLIS + 3_600_000 / 2
                val present = laterMillis / 5_000
                val empty = started().started(WINDOW - 1, laterMillis)
                empty.nextWindow shouldBe present - 14
                val counted = started().withReport(1, report(WINDOW + 7 to 1L), 0)
                counted.started(WINDOW - 1, laterMillis).nextWindow shouldBe WINDOW + 7
            }
        }

        describe("absurd reports") {
            it("of counts that overflow together give the largest count") {
                val ledger = listOf(1L, 2L, 3L).fold(started()) { ledger, process ->
                    ledger.withReport(process, report(WINDOW to Long.MAX_VALUE - 1, complete = WINDOW), 0)
                }
                ledger.closedWindowOrNull(0, END_MILLIS)?.counts shouldBe mapOf("small" to Long.MAX_VALUE)
            }
            it("of negative counts, zero and impossible names are ignored") {
                val counts = mapOf("a" to -1L, "b" to 0L, "" to 1L, "x".repeat(129) to 1L, "c d" to 1L, "e" to 1L)
                val ledger = started()
                    .withReport(1, UsageReport(listOf(UsageReport.Window(WINDOW, counts)), WINDOW, isFull = true), 0)
                ledger.closedWindowOrNull(0, END_MILLIS)?.counts shouldBe mapOf("e" to 1L)
            }
            it("of thousands of windows far away leave the present one right") {
                val windows = (1L..5_000L).map { WINDOW + 1_000_000 + it to 1L }.toTypedArray()
                val ledger = started()
                    .withReport(1, report(*windows, complete = Long.MAX_VALUE), 0)
                    .withReport(2, report(WINDOW to 6L, complete = WINDOW), 0)
                ledger.closedWindowOrNull(0, END_MILLIS)?.counts shouldBe mapOf("small" to 6L)
            }
            it("of thousands of processes that end at once leave those that are heard of") {
                val ended = (10L..4_000L).fold(started()) { ledger, id -> ledger.withReport(id, report(), -100_000) }
                val ledger = ended.withReport(1, report(WINDOW to 6L, complete = WINDOW), 0)
                ledger.closedWindowOrNull(0, END_MILLIS)?.counts shouldBe mapOf("small" to 6L)
            }
        }
    })
