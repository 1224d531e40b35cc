package marigoldward.bench.soak

import kotlin.random.Random

/**
 * A random scenario: faults from outside the processes, in series that overlap, while callers send work.
 *
 * Every fault ends before the scenario does. What is checked holds whatever comes: no wrong answer, no request said
 * not to have run that did, no booking made twice, no conflicting commands to engines; and all work is served once the
 * faults are over.
 */
internal class SoakPlan private constructor(private val seed: Long) {
    private val random = Random(seed)
    private val timeline = ArrayList<Step>()
    private val faultTimes = HashMap<String, List<LongRange>>()

    private data class Step(val atMillis: Long, val text: String)

    /** A fault of [target], begun by [begin] and ended by [end]. */
    private data class Fault(val target: String, val begin: String, val end: String?)

    /** Returns the scenario's lines. */
    private fun lines(): List<String> {
        repeat(FAULTS) { addFault(random.nextLong(FAULTS_MILLIS)) }
        repeat(BOOKINGS) { addBooking(it, random.nextLong(FAULTS_MILLIS)) }
        return opening() + timed() + CLOSING
    }

    private fun opening(): List<String> = listOf(
        "# Soak with seed $seed.",
        "seed $seed",
        "fleet svetloba entries=$ENTRIES engines=$ENGINES engine.role_change_ms=1000",
        "expect status \"role=leader\" within=20",
        "load steady rate=$RATE requests=${RATE * FAULTS_MILLIS / MILLIS_PER_SECOND} tokens=40 shared=50",
    )

    private fun timed(): List<String> {
        val ordered = timeline.sortedBy { it.atMillis }
        val before = listOf(0L) + ordered.map { it.atMillis }
        return ordered.zip(before).flatMap { (step, previousMillis) ->
            val waitMillis = step.atMillis - previousMillis
            if (waitMillis > 0) listOf("wait ${waitMillis}ms", step.text) else listOf(step.text)
        }
    }

    private fun addFault(atMillis: Long) {
        val fault = fault()
        val endMillis = atMillis + random.nextLong(LEAST_MILLIS, MOST_MILLIS)
        val known = faultTimes[fault.target].orEmpty()
        if (known.any { atMillis <= it.last + LEAST_MILLIS && endMillis + LEAST_MILLIS >= it.first }) return
        faultTimes[fault.target] = known + listOf(atMillis..endMillis)
        timeline.add(Step(atMillis, fault.begin))
        fault.end?.let { timeline.add(Step(endMillis, it)) }
    }

    private fun fault(): Fault {
        val control = "control-${random.nextInt(CONTROLS) + 1}"
        val controller = "controller-${random.nextInt(CONTROLS) + 1}"
        val entry = "entry-${random.nextInt(ENTRIES) + 1}"
        val engine = "oblikovalec-${random.nextInt(ENGINES) + 1}"
        val service = "rezervacije-${random.nextInt(SERVICES) + 1}"
        val process = listOf(control, controller, entry).random(random)
        return when (Kind.entries.random(random)) {
            Kind.KILL -> listOf(control, controller).random(random).let { Fault(it, "kill $it", "start $it") }
            Kind.STOP -> Fault(entry, "stop $entry", "start $entry")
            Kind.FREEZE -> listOf(control, controller).random(random).let { Fault(it, "freeze $it", "thaw $it") }
            Kind.CUT -> Fault(process, "cut $process", "heal $process")
            Kind.DEAFEN -> Fault(process, "deafen $process", "heal $process")
            Kind.MUTE -> Fault(process, "mute $process", "heal $process")
            Kind.SLOW -> Fault(
                process,
                "slow $process ms=${random.nextLong(SHORT_DELAY_MILLIS, LONG_DELAY_MILLIS)}",
                "heal $process",
            )
            Kind.RESET -> Fault(process, "reset $process", null)
            Kind.CRASH -> Fault(engine, "fault $engine crash", null)
            Kind.FREEZE_ENGINE -> Fault(engine, "fault $engine freeze", "fault $engine thaw")
            Kind.BREAK_SERVICE -> Fault(service, "fault $service break-after-run", "fault $service normal")
        }
    }

    private enum class Kind { KILL, STOP, FREEZE, CUT, DEAFEN, MUTE, SLOW, RESET, CRASH, FREEZE_ENGINE, BREAK_SERVICE }

    /** A booking is sent twice, through two entries: it may run once. */
    private fun addBooking(number: Int, atMillis: Long) {
        listOf(0L, random.nextLong(MOST_MILLIS)).forEachIndexed { turn, laterMillis ->
            val entry = "entry-${(number + turn) % ENTRIES + 1}"
            timeline.add(Step(atMillis + laterMillis, "book slot-$number key=key-$number entry=$entry"))
        }
    }

    companion object {
        private const val ENTRIES = 3
        private const val ENGINES = 6
        private const val CONTROLS = 3
        private const val SERVICES = 3
        private const val FAULTS = 12
        private const val BOOKINGS = 5
        private const val MILLIS_PER_SECOND = 1_000L

        /** The requests of the load in a second: few, so that what fails fails by a fault and not by load. */
        private const val RATE = 8L

        /** How long faults begin, in milliseconds. */
        private const val FAULTS_MILLIS = 15_000L

        /** The shortest and longest fault, in milliseconds; leases last 3 s, so some outlast one. */
        private const val LEAST_MILLIS = 300L
        private const val MOST_MILLIS = 5_000L

        /** The shortest and longest delay of a slow link, in milliseconds: the way to another region, two heartbeats. */
        private const val SHORT_DELAY_MILLIS = 20L
        private const val LONG_DELAY_MILLIS = 400L

        private val CLOSING =
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

        /** Returns the lines of the scenario of [seed]. */
        fun lines(seed: Long): List<String> = SoakPlan(seed).lines()
    }
}
