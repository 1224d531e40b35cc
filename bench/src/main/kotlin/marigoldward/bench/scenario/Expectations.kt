package marigoldward.bench.scenario

import marigoldward.bench.client.BookingResult
import marigoldward.bench.fleet.Fleet
import marigoldward.bench.load.LoadRun

/** Checks the expectations of `expect` steps. */
internal class Expectations(
    private val fleet: Fleet,
    private val loadRuns: Map<String, LoadRun>,
    private val bookingResults: Map<String, BookingResult>,
    private val notedRequestCounts: Map<String, Int>,
) {
    /**
     * Checks the expectation of [step].
     *
     * @throws ScenarioFailure if it is not met
     */
    fun check(step: ScenarioStep) {
        when (step.word(0)) {
            "load" -> checkLoad(step)
            "status" -> checkStatus(step)
            "engine" -> awaitStatus(step, "engine ${step.word(1)}") { engineMatches(step, it) }
            "no-conflicts" -> checkNoConflicts(step)
            "bookings-once" -> checkBookingsOnce(step)
            "refusals-true" -> checkRefusalsTrue(step)
            "cancelled" -> checkCancelled(step)
            "unchanged" -> checkUnchanged(step)
            else -> step.fail("expectation \"${step.word(0)}\" is not known")
        }
    }

    /**
     * `expect load NAME right=N% at_most=N% within=SECONDS`: waits for the end of the load, then checks the share of
     * right answers. Wrong answers of status 200 fail the step unless it has the option `wrong`.
     */
    private fun checkLoad(step: ScenarioStep) {
        val name = step.word(1)
        val run = loadRuns[name] ?: step.fail("no load is called \"$name\"")
        val hasEnded = run.await(step.number("within", DEFAULT_TIMEOUT_SECONDS) * MILLIS_PER_SECOND)
        if (!hasEnded) step.fail("load \"$name\" has not ended")
        val results = run.results.map { it.result }
        val right = results.count { it.isRight }
        val wrong = results.filter { it.statusCode == STATUS_OK && !it.isRight }
        val rightPercent = HUNDRED * right / maxOf(1, results.size)
        val summary = "$right of ${results.size} right; others: " +
            results.filter { !it.isRight }
                .groupingBy { "${it.statusCode} ${it.outcome} ${it.problem?.take(MAX_PROBLEM_CHARACTERS)}" }
                .eachCount()
        if (wrong.isNotEmpty() && "wrong" !in step.options) step.fail("wrong answers: $summary")
        val minPercent = step.text("right", "0%").removeSuffix("%").toInt()
        if (rightPercent < minPercent) step.fail("fewer than $minPercent% are right: $summary")
        val maxPercent = step.options["at_most"]?.removeSuffix("%")?.toInt() ?: HUNDRED
        if (rightPercent > maxPercent) step.fail("more than $maxPercent% are right: $summary")
        println("    $name: $summary")
    }

    /**
     * `expect status PATTERN within=SECONDS`: waits until the output of the operators' command `status` matches, or
     * until it does not match with `absent=true`.
     */
    private fun checkStatus(step: ScenarioStep) {
        val isAbsent = step.options["absent"] == "true"
        awaitStatus(step, "status \"${step.word(1)}\"") { text ->
            Regex(step.word(1)).containsMatchIn(text) != isAbsent
        }
    }

    private fun engineMatches(step: ScenarioStep, status: String): Boolean {
        val line = status.lines().firstOrNull { it.startsWith("engine=${step.word(1)} ") } ?: return false
        return Regex(step.text("matches")).containsMatchIn(line)
    }

    private fun awaitStatus(step: ScenarioStep, expectation: String, condition: (String) -> Boolean) {
        var status = ""
        val isMet = fleet.await(step.number("within", DEFAULT_TIMEOUT_SECONDS) * MILLIS_PER_SECOND) {
            status = fleet.runCommandLine(listOf("status", "--settings", fleet.operatorSettings.path)).output
            condition(status)
        }
        if (!isMet) step.fail("$expectation is not met; the status is:\n$status")
    }

    /**
     * `expect no-conflicts`: no engine received a command while it executed another, none executed a command under a
     * lower fencing token than that of an earlier command, and none executed a command twice.
     */
    private fun checkNoConflicts(step: ScenarioStep) {
        val report = Observations.parse(fleet.observed())
        if (report.conflicts.isNotEmpty()) step.fail("conflicting commands: ${report.conflicts}")
        report.commands.groupBy { it.engine }.forEach { (engine, commands) ->
            val tokens = commands.map { it.token }
            if (tokens != tokens.sorted()) step.fail("engine $engine ran commands under the tokens $tokens")
            val repeated = commands.groupBy { it.commandId }.filterValues { it.size > 1 }
            if (repeated.isNotEmpty()) step.fail("engine $engine ran a command more than once: $repeated")
        }
    }

    /**
     * `expect bookings-once`: no booking was made twice, none reported as not run was made, and all that were confirmed
     * were made.
     */
    private fun checkBookingsOnce(step: ScenarioStep) {
        val counts = Observations.parse(fleet.observed()).bookings
        val repeated = counts.filter { it.count > 1 }
        if (repeated.isNotEmpty()) step.fail("bookings that were made more than once: $repeated")
        val made = counts.map { it.id }.toSet()
        val misreported = bookingResults.filter { (id, result) -> result.outcome == NOT_RUN && id in made }
        if (misreported.isNotEmpty()) step.fail("bookings that were made but reported as not run: $misreported")
        val lost = bookingResults.filter { (id, result) -> result.statusCode == STATUS_CREATED && id !in made }
        if (lost.isNotEmpty()) step.fail("bookings that were confirmed but not made: $lost")
    }

    /** `expect refusals-true`: no completion that was reported as not run reached an upstream. */
    private fun checkRefusalsTrue(step: ScenarioStep) {
        val started = Observations.parse(fleet.observed()).starts.map { it.id }.toSet()
        val results = loadRuns.values.flatMap { it.results }.map { it.result }
        val misreported = results.filter { it.isReportedNotRun && it.requestId in started }
        if (misreported.isNotEmpty()) {
            step.fail("requests that reached an upstream but were reported as not run: $misreported")
        }
    }

    /** `expect unchanged UPSTREAM`: no request has reached the upstream since the step `note UPSTREAM`. */
    private fun checkUnchanged(step: ScenarioStep) {
        val upstream = step.word(1)
        val notedCount = notedRequestCounts[upstream] ?: step.fail("no step \"note $upstream\" before this one")
        val currentCount = Observations.requestCount(fleet, upstream)
        if (currentCount != notedCount) step.fail("${currentCount - notedCount} requests reached $upstream")
    }

    /** `expect cancelled at_least=N`: the stand-ins had at least N streams cancelled. */
    private fun checkCancelled(step: ScenarioStep) {
        val count = Observations.parse(fleet.observed()).cancelled
        if (count < step.number("at_least")) step.fail("$count streams were cancelled, fewer than expected")
    }

    private companion object {
        const val DEFAULT_TIMEOUT_SECONDS = 60L
        const val MILLIS_PER_SECOND = 1_000L
        const val HUNDRED = 100
        const val STATUS_OK = 200
        const val STATUS_CREATED = 201
        const val MAX_PROBLEM_CHARACTERS = 60
        const val NOT_RUN = "not_run"
    }
}
