package marigoldward.bench.scenario

import marigoldward.bench.client.BookingResult
import marigoldward.bench.client.CallerClient
import marigoldward.bench.fleet.Fleet
import marigoldward.bench.fleet.FleetLayout
import marigoldward.bench.load.Balancer
import marigoldward.bench.load.LoadOrder
import marigoldward.bench.load.LoadRun
import java.io.File

/** Carries out the steps of one scenario against real processes. */
internal class Scenario(private val root: File, private val folder: File) : AutoCloseable {
    private var fleet: Fleet? = null
    private var seed = 1L
    private var loads = emptyMap<String, LoadRun>()
    private var bookings = emptyMap<String, BookingResult>()
    private var notes = emptyMap<String, Int>()
    private var balancers = emptyList<Balancer>()
    private val client = CallerClient.create()

    /** Carries out [step]. */
    fun run(step: ScenarioLine) {
        when (step.verb) {
            "seed" -> seed = step.word(0).toLongOrNull() ?: step.fail("\"${step.word(0)}\" is no seed")
            "fleet" -> startFleet(step)
            "apply" -> apply(step)
            "start" -> running(step).start(step.word(0))
            "stop" -> if (!running(step).stop(step.word(0))) step.fail("${step.word(0)} did not end in time")
            "kill" -> running(step).kill(step.word(0))
            "freeze" -> running(step).freeze(step.word(0))
            "thaw" -> running(step).thaw(step.word(0))
            "cut" -> step.words.forEach(running(step)::cut)
            "deafen" -> running(step).deafen(step.word(0))
            "mute" -> running(step).mute(step.word(0))
            "slow" -> running(step).slow(step.word(0), step.number("ms"))
            "reset" -> running(step).reset(step.word(0))
            "heal" -> step.words.forEach(running(step)::heal)
            "wipe" -> running(step).wipe(step.word(0))
            "fault" -> fault(step)
            "note" -> notes = notes + (step.word(0) to Observations.startsOn(running(step), step.word(0)))
            "operate" -> operate(step)
            "load" -> load(step)
            "book" -> book(step)
            "wait" -> Thread.sleep(step.word(0).removeSuffix("ms").toLongOrNull() ?: step.fail("use wait 500ms"))
            "expect" -> Expectations(running(step), loads, bookings, notes).check(step)
            else -> step.fail("step \"${step.verb}\" is not known")
        }
    }

    override fun close() {
        balancers.forEach(Balancer::close)
        fleet?.close()
        client.close()
    }

    private fun running(step: ScenarioLine): Fleet = fleet ?: step.fail("no fleet is started yet")

    private fun startFleet(step: ScenarioLine) {
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
        val isApplied = started.await(READY_MILLIS) { operate(started, arguments).exitCode == 0 }
        if (!isApplied) step.fail("the declarations were not applied: ${operate(started, arguments).text}")
        if (!started.awaitReady(READY_MILLIS)) step.fail("the entries are not ready")
    }

    private fun apply(step: ScenarioLine) {
        val arguments =
            listOf("apply", File(root, step.word(0)).path, "--expect-revision", step.text("revision")) +
                listOf("--operation-id", step.text("operation"))
        expectExit(step, operate(running(step), arguments))
    }

    private fun operate(step: ScenarioLine) {
        val isPatient = step.options.containsKey("within")
        val started = running(step)
        if (!isPatient) {
            expectExit(step, operate(started, step.words))
            return
        }
        val expected = step.number("exit", 0).toInt()
        val isDone = started.await(step.number("within") * MILLIS_PER_SECOND) {
            operate(started, step.words).exitCode ==
                expected
        }
        if (!isDone) step.fail("it never ended with $expected: ${operate(started, step.words).text}")
    }

    private fun expectExit(step: ScenarioLine, result: marigoldward.bench.fleet.ProgramResult) {
        val expected = step.number("exit", 0).toInt()
        if (result.exitCode !=
            expected
        ) {
            step.fail("exit code ${result.exitCode} and not $expected: ${result.text.trim()}")
        }
        val contained = step.options["says"] ?: return
        if (contained !in result.text) step.fail("\"$contained\" is not in: ${result.text.trim()}")
    }

    private fun operate(started: Fleet, words: List<String>) =
        started.operate(words + listOf("--settings", started.operatorSettings.path))

    private fun fault(step: ScenarioLine) {
        if (!running(step).fault(step.word(0), step.word(1))) step.fail("the stand-in does not know this fault")
    }

    private fun load(step: ScenarioLine) {
        val started = running(step)
        val entries = step.text("entries", started.entryNames.joinToString(",")).split(',')
        val order =
            LoadOrder(
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
                seed = step.number("seed", seed + loads.size),
            )
        val balanced = entries.map { Balancer.BalancedEntry(started.callerAddress(it), started.operatorAddress(it)) }
        val balancer = Balancer.start(balanced)
        balancers = balancers + balancer
        loads = loads + (step.word(0) to LoadRun.start(order, balancer))
    }

    private fun book(step: ScenarioLine) {
        val started = running(step)
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
        bookings = bookings + (step.word(0) to result)
        if (!isMet) step.fail("the booking came to $result")
    }

    private companion object {
        const val READY_MILLIS = 30_000L
        const val MILLIS_PER_SECOND = 1_000L
    }
}
