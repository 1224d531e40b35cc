package marigoldward.bench.scenario

import marigoldward.bench.client.BookingResult
import marigoldward.bench.client.CallerClient
import marigoldward.bench.fleet.Fleet
import marigoldward.bench.fleet.FleetLayout
import marigoldward.bench.fleet.ProgramResult
import marigoldward.bench.load.Balancer
import marigoldward.bench.load.LoadRun
import marigoldward.bench.load.LoadSpec
import java.io.File

/** Executes the steps of one scenario against a fleet of real processes. */
internal class ScenarioExecutor(private val root: File, private val folder: File) : AutoCloseable {
    private var fleet: Fleet? = null
    private var seed = 1L
    private var loadRuns = emptyMap<String, LoadRun>()
    private var bookingResults = emptyMap<String, BookingResult>()
    private var notedRequestCounts = emptyMap<String, Int>()
    private var balancers = emptyList<Balancer>()
    private val client = CallerClient.create()

    /**
     * Executes [step].
     *
     * @throws ScenarioFailure if the step is not valid or its expectation is not met
     */
    fun execute(step: ScenarioStep) {
        when (step.verb) {
            "seed" -> seed = step.word(0).toLongOrNull() ?: step.fail("\"${step.word(0)}\" is not a seed")
            "fleet" -> startFleet(step)
            "apply" -> applyDeclarations(step)
            "start" -> startedFleet(step).start(step.word(0))
            "stop" -> if (!startedFleet(step).stop(step.word(0))) step.fail("${step.word(0)} did not end in time")
            "kill" -> startedFleet(step).kill(step.word(0))
            "freeze" -> startedFleet(step).freeze(step.word(0))
            "thaw" -> startedFleet(step).resume(step.word(0))
            "cut" -> step.words.forEach(startedFleet(step)::isolate)
            "deafen" -> startedFleet(step).holdIncoming(step.word(0))
            "mute" -> startedFleet(step).holdOutgoing(step.word(0))
            "slow" -> startedFleet(step).delay(step.word(0), step.number("ms"))
            "reset" -> startedFleet(step).resetConnections(step.word(0))
            "heal" -> step.words.forEach(startedFleet(step)::clearLinkFault)
            "wipe" -> startedFleet(step).deleteData(step.word(0))
            "fault" -> injectFault(step)
            "note" -> noteRequestCount(step)
            "operate" -> runCommandLine(step)
            "load" -> startLoad(step)
            "book" -> sendBooking(step)
            "wait" -> Thread.sleep(
                step.word(0).removeSuffix("ms").toLongOrNull()
                    ?: step.fail("\"${step.word(0)}\" is not a time in milliseconds, such as 500ms"),
            )
            "expect" -> Expectations(startedFleet(step), loadRuns, bookingResults, notedRequestCounts).check(step)
            else -> step.fail("the verb \"${step.verb}\" is not known")
        }
    }

    override fun close() {
        balancers.forEach(Balancer::close)
        fleet?.close()
        client.close()
    }

    private fun startedFleet(step: ScenarioStep): Fleet = fleet ?: step.fail("no fleet has been started")

    private fun startFleet(step: ScenarioStep) {
        val site = step.words.firstOrNull() ?: FleetLayout.SVETLOBA.site
        val base = FleetLayout.ALL.firstOrNull { it.site == site } ?: step.fail("site \"$site\" is not known")
        val engineLines = step.options.filterKeys { it.startsWith("engine.") }
            .map { (key, value) -> "${key.removePrefix("engine.")} = $value" }
        val layout =
            base.copy(
                engines = step.number("engines", base.engines.toLong()).toInt(),
                services = step.number("services", base.services.toLong()).toInt(),
                entries = step.number("entries", base.entries.toLong()).toInt(),
                controllers = step.number("controllers", base.controllers.toLong()).toInt(),
                engineSettings = base.engineSettings + engineLines,
            )
        val started = Fleet.create(folder, File(root, "bin"), layout)
        fleet = started
        started.start()
        val declarations = File(root, step.text("declarations", "examples/group")).path
        val arguments = listOf("apply", declarations, "--expect-revision", "0", "--operation-id", "first")
        val isApplied = started.await(READY_TIMEOUT_MILLIS) { runCommandLine(started, arguments).exitCode == 0 }
        if (!isApplied) step.fail("the declarations were not applied: ${runCommandLine(started, arguments).output}")
        if (!started.awaitReady(READY_TIMEOUT_MILLIS)) step.fail("the entries are not ready")
    }

    private fun applyDeclarations(step: ScenarioStep) {
        val arguments =
            listOf("apply", File(root, step.word(0)).path, "--expect-revision", step.text("revision")) +
                listOf("--operation-id", step.text("operation"))
        checkResult(step, runCommandLine(startedFleet(step), arguments))
    }

    private fun runCommandLine(step: ScenarioStep) {
        val isRepeated = step.options.containsKey("within")
        val started = startedFleet(step)
        if (!isRepeated) {
            checkResult(step, runCommandLine(started, step.words))
            return
        }
        val expected = step.number("exit", 0).toInt()
        val isDone = started.await(step.number("within") * MILLIS_PER_SECOND) {
            runCommandLine(started, step.words).exitCode == expected
        }
        if (!isDone) {
            step.fail("the exit code did not become $expected: ${runCommandLine(started, step.words).output}")
        }
    }

    private fun checkResult(step: ScenarioStep, result: ProgramResult) {
        val expected = step.number("exit", 0).toInt()
        if (result.exitCode != expected) {
            step.fail("exit code ${result.exitCode} instead of $expected: ${result.output.trim()}")
        }
        val contained = step.options["says"] ?: return
        if (contained !in result.output) step.fail("\"$contained\" is not in: ${result.output.trim()}")
    }

    private fun runCommandLine(started: Fleet, arguments: List<String>) =
        started.runCommandLine(arguments + listOf("--settings", started.operatorSettings.path))

    private fun noteRequestCount(step: ScenarioStep) {
        val upstream = step.word(0)
        notedRequestCounts = notedRequestCounts + (upstream to Observations.requestCount(startedFleet(step), upstream))
    }

    private fun injectFault(step: ScenarioStep) {
        if (!startedFleet(
                step,
            ).injectFault(step.word(0), step.word(1))
        ) {
            step.fail("the stand-in does not know this fault")
        }
    }

    private fun startLoad(step: ScenarioStep) {
        val started = startedFleet(step)
        val entries = step.text("entries", started.entryNames.joinToString(",")).split(',')
        val spec =
            LoadSpec(
                model = step.text("model", "oblikovalec"),
                className = step.text("class", "standard"),
                caller = step.text("caller", "scenario"),
                requestsPerSecond = step.number("rate", 10).toDouble(),
                requests = step.number("requests", 20).toInt(),
                promptCharacters = step.number("prompt", 2_000).toInt(),
                maxTokens = step.number("tokens", 40).toInt(),
                sharedPrefixPercent = step.number("shared", 0).toInt(),
                marker = step.text("marker", "plain"),
                isRepeated = step.text("repeated", "false") == "true",
                seed = step.number("seed", seed + loadRuns.size),
            )
        val addresses = entries.map { Balancer.EntryAddresses(started.callerAddress(it), started.operatorAddress(it)) }
        val balancer = Balancer.start(addresses)
        balancers = balancers + balancer
        loadRuns = loadRuns + (step.word(0) to LoadRun.start(spec, balancer))
    }

    private fun sendBooking(step: ScenarioStep) {
        val started = startedFleet(step)
        val address = started.callerAddress(step.text("entry", started.entryNames.first()))
        val expected = step.options["status"]?.toIntOrNull()
        var result = client.book(address, step.text("path", "/rezervacije/slots"), step.word(0), step.options["key"])
        val isMet = started.await(step.number("within", 0) * MILLIS_PER_SECOND) {
            if (result.statusCode != expected && step.options.containsKey("within")) {
                result =
                    client.book(address, step.text("path", "/rezervacije/slots"), step.word(0), step.options["key"])
            }
            expected == null || result.statusCode == expected
        }
        bookingResults = bookingResults + (step.word(0) to result)
        if (!isMet) step.fail("the status is not $expected: $result")
    }

    private companion object {
        const val READY_TIMEOUT_MILLIS = 30_000L
        const val MILLIS_PER_SECOND = 1_000L
    }
}
