package marigoldward.bench.soak

import kotlin.random.Random

/**
 * Generates a random scenario: overlapping faults of processes, links and upstreams while callers send requests.
 *
 * Faults of one target do not overlap, and every fault ends before the scenario does. The checks hold under any
 * combination of faults: no wrong answer, no request reported as not run that did run, no booking made twice and no
 * conflicting commands to engines. After the last fault, all requests must be served.
 */
internal class SoakPlan private constructor(private val seed: Long) {
    private val random = Random(seed)
    private val timeline = ArrayList<TimedStep>()
    private val faultPeriods = HashMap<String, List<LongRange>>()

    private data class TimedStep(val atMillis: Long, val text: String)

    /** A fault of [target], caused by the step [begin] and ended by the step [end] unless it ends by itself. */
    private data class Fault(val target: String, val begin: String, val end: String?)

    private fun generate(): List<String> {
        repeat(FAULTS) { addFault(random.nextLong(FAULT_WINDOW_MILLIS)) }
        repeat(BOOKINGS) { addBooking(it, random.nextLong(FAULT_WINDOW_MILLIS)) }
        return startLines() + timelineLines() + CHECK_LINES
    }

    private fun startLines(): List<String> = listOf(
        "# Soak with seed $seed.",
        "seed $seed",
        "fleet svetloba entries=$ENTRIES engines=$ENGINES engine.role_change_ms=1000",
        "expect status \"role=leader\" within=20",
        "load steady rate=$REQUESTS_PER_SECOND requests=$STEADY_REQUESTS tokens=40 shared=50",
    )

    private fun timelineLines(): List<String> {
        val ordered = timeline.sortedBy { it.atMillis }
        val previousTimes = listOf(0L) + ordered.map { it.atMillis }
        return ordered.zip(previousTimes).flatMap { (step, previousMillis) ->
            val waitMillis = step.atMillis - previousMillis
            if (waitMillis > 0) listOf("wait ${waitMillis}ms", step.text) else listOf(step.text)
        }
    }

    /** Adds a random fault, unless it would overlap with another fault of the same target. */
    private fun addFault(atMillis: Long) {
        val fault = randomFault()
        val endMillis = atMillis + random.nextLong(MIN_FAULT_MILLIS, MAX_FAULT_MILLIS)
        val periods = faultPeriods[fault.target].orEmpty()
        if (periods.any { atMillis <= it.last + MIN_FAULT_MILLIS && endMillis + MIN_FAULT_MILLIS >= it.first }) return
        faultPeriods[fault.target] = periods + listOf(atMillis..endMillis)
        timeline.add(TimedStep(atMillis, fault.begin))
        fault.end?.let { timeline.add(TimedStep(endMillis, it)) }
    }

    private fun randomFault(): Fault {
        val control = "control-${random.nextInt(INSTANCES_PER_ROLE) + 1}"
        val controller = "controller-${random.nextInt(INSTANCES_PER_ROLE) + 1}"
        val entry = "entry-${random.nextInt(ENTRIES) + 1}"
        val engine = "oblikovalec-${random.nextInt(ENGINES) + 1}"
        val service = "rezervacije-${random.nextInt(SERVICES) + 1}"
        val process = listOf(control, controller, entry).random(random)
        return when (FaultKind.entries.random(random)) {
            FaultKind.KILL -> listOf(control, controller).random(random).let { Fault(it, "kill $it", "start $it") }
            FaultKind.STOP -> Fault(entry, "stop $entry", "start $entry")
            FaultKind.FREEZE -> listOf(control, controller).random(random).let { Fault(it, "freeze $it", "thaw $it") }
            FaultKind.CUT -> Fault(process, "cut $process", "heal $process")
            FaultKind.DEAFEN -> Fault(process, "deafen $process", "heal $process")
            FaultKind.MUTE -> Fault(process, "mute $process", "heal $process")
            FaultKind.SLOW -> Fault(
                process,
                "slow $process ms=${random.nextLong(MIN_DELAY_MILLIS, MAX_DELAY_MILLIS)}",
                "heal $process",
            )
            FaultKind.RESET -> Fault(process, "reset $process", null)
            FaultKind.CRASH -> Fault(engine, "fault $engine crash", null)
            FaultKind.FREEZE_ENGINE -> Fault(engine, "fault $engine freeze", "fault $engine thaw")
            FaultKind.BREAK_SERVICE -> Fault(service, "fault $service break-after-run", "fault $service normal")
        }
    }

    private enum class FaultKind {
        KILL,
        STOP,
        FREEZE,
        CUT,
        DEAFEN,
        MUTE,
        SLOW,
        RESET,
        CRASH,
        FREEZE_ENGINE,
        BREAK_SERVICE,
    }

    /** Adds a booking that is sent twice under one idempotency key, through two entries; it may run only once. */
    private fun addBooking(number: Int, atMillis: Long) {
        listOf(0L, random.nextLong(MAX_FAULT_MILLIS)).forEachIndexed { attempt, delayMillis ->
            val entry = "entry-${(number + attempt) % ENTRIES + 1}"
            timeline.add(TimedStep(atMillis + delayMillis, "book slot-$number key=key-$number entry=$entry"))
        }
    }

    companion object {
        private const val ENTRIES = 3
        private const val ENGINES = 6

        /** The number of control instances, and of controllers. */
        private const val INSTANCES_PER_ROLE = 3
        private const val SERVICES = 3
        private const val FAULTS = 12
        private const val BOOKINGS = 5
        private const val MILLIS_PER_SECOND = 1_000L

        /** Low enough that requests fail because of faults and not because of overload. */
        private const val REQUESTS_PER_SECOND = 8L

        /** The time from the start of the load during which faults begin and requests are sent. */
        private const val FAULT_WINDOW_MILLIS = 15_000L
        private const val STEADY_REQUESTS = REQUESTS_PER_SECOND * FAULT_WINDOW_MILLIS / MILLIS_PER_SECOND

        /** The duration of faults; leases last 3 s, so that some faults outlast a lease and others do not. */
        private const val MIN_FAULT_MILLIS = 300L
        private const val MAX_FAULT_MILLIS = 5_000L

        /** The delay of slow links, from the latency to another region up to two heartbeats. */
        private const val MIN_DELAY_MILLIS = 20L
        private const val MAX_DELAY_MILLIS = 400L

        private val CHECK_LINES =
            listOf(
                "wait 6000ms",
                "expect status \"role=leader\" within=30",
                "expect load steady within=90",
                "load after rate=8 requests=40 tokens=40",
                "expect load after right=100% within=60",
                "expect bookings-once",
                "expect refusals-true",
                "expect no-conflicts",
            )

        /** Returns the lines of the scenario generated from [seed]; the same seed gives the same lines. */
        fun lines(seed: Long): List<String> = SoakPlan(seed).generate()
    }
}
