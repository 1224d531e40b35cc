package marigoldward.core.usage

import marigoldward.core.control.ControlCommand
import marigoldward.core.control.ControlOutcome
import marigoldward.core.control.ControlState
import marigoldward.core.control.ControlStateMachine
import marigoldward.core.control.RecordedUsage
import marigoldward.core.duties.ConfirmedToken
import marigoldward.core.duties.LeaderTenure
import marigoldward.core.model.FencingToken
import marigoldward.core.time.ClockReading
import marigoldward.core.workspaces.WorkspaceName
import java.util.PriorityQueue
import java.util.TreeMap
import kotlin.random.Random

/** A fault that [UsageSchedule] plants into the chain and has to find. */
internal enum class UsageFault {
    LEASE_COUNTED_FROM_ANSWER,
    TOKEN_REUSED_AFTER_RESTART,
    REPORT_CHANGED_AFTER_SEND,
    SUCCESSOR_WITHOUT_WAIT,
}

/**
 * Runs the chain from the entries' counts to the provider in simulated time, with faults drawn from [seed]. In a calm
 * schedule a third of the clocks differ by seconds and jump and messages take some time, but nothing is lost and the
 * leader stays.
 */
internal class UsageSchedule(seed: Long, private val isCalm: Boolean, private val fault: UsageFault? = null) {
    private val random = Random(seed)
    private val events = PriorityQueue<Event>(compareBy({ it.atMillis }, { it.order }))
    private var order = 0L
    private var now = START_MILLIS
    private var machineCount = 0
    private val windows = UsageWindows(WINDOW_MILLIS)
    private val truth = TreeMap<Long, HashMap<String, Long>>()
    private val provider = Provider()
    private val entries = List(ENTRIES) { Entry(it + 1L) }
    private val instances = List(INSTANCES, ::Instance)
    private var state = ControlState.EMPTY
    private var leader: Instance? = instances[0]
    private var term = 1L
    private var appliedIndex = 0L

    private class Event(val atMillis: Long, val order: Long, val action: () -> Unit)

    /** A machine, with clocks that stand still or are set. */
    private open inner class Machine {
        private var frozenMillis = 0L
        private val maxSkewMillis =
            if (isCalm && machineCount++ % WRONG_CLOCK_INTERVAL != 0) SMALL_SKEW_MILLIS else MAX_SKEW_MILLIS
        private var skewMillis = random.nextLong(-maxSkewMillis, maxSkewMillis)
        var frozenUntil = 0L
            private set
        val clocks: ClockReading get() = ClockReading(now - frozenMillis, now + skewMillis)

        fun setClock() {
            skewMillis = random.nextLong(-maxSkewMillis, maxSkewMillis)
        }

        fun freeze(millis: Long) {
            if (now < frozenUntil) return
            frozenUntil = now + millis
            frozenMillis += millis
        }
    }

    private inner class Entry(val incarnation: Long) : Machine() {
        private val counter = UsageCounter(windows)
        private var trueTime: Pair<ClockReading, Long>? = null
        private var lastSent = 0L
        var cutUntil = 0L

        private val epochMillisOrNull: Long?
            get() = trueTime?.let { (at, epoch) -> clocks.millisSinceOrNull(at)?.let { epoch + it } }

        fun serve() {
            val count = random.nextInt(MAX_REQUESTS)
            repeat(count) {
                val workspace = WORKSPACES[minOf(random.nextInt(4), random.nextInt(4))]
                val epochMillis = epochMillisOrNull
                if (epochMillis == null) counter.hold(workspace, clocks) else counter.record(workspace, epochMillis)
                truth.getOrPut(windows.at(now)) { HashMap() }.merge(workspace.text, 1, Long::plus)
            }
        }

        fun exchange() {
            val target = leader ?: return
            val targetTerm = term
            val sent = counter.report(epochMillisOrNull)
            val sequence = ++lastSent
            val epoch = clocks.epochMillis
            val sentAt = now
            if (isLost()) return
            target.whenRunning(transit()) {
                if (target !== leader || targetTerm != term) return@whenRunning
                target.receive(incarnation, epoch, sent.report)
                val (recorded, told) = state.usage.lastWindow to target.epochMillisOrNull()
                if (isLost()) return@whenRunning
                whenRunning(transit()) {
                    if (told != null) {
                        trueTime = clocks to told + (now - sentAt) / 2
                        counter.releaseHeld(told + (now - sentAt) / 2, clocks.monotonicMillis)
                    }
                    // As in the gateway, a late reply does not confirm the report that was sent last.
                    if (sequence == lastSent) counter.onConfirmed(sent, targetTerm, recorded)
                }
            }
        }

        private fun isLost(): Boolean = now < cutUntil || !isCalm && random.nextInt(20) == 0
    }

    private inner class Instance(val number: Int) : Machine() {
        private var tenure = LeaderTenure.none(if (fault == UsageFault.SUCCESSOR_WITHOUT_WAIT) 0 else TAKEOVER_MILLIS)
        private var ledger = UsageLedger.empty(windows, DUE_MILLIS)
        private var estimator = TrueTimeEstimator.EMPTY
        private var gatheredTerm = 0L
        private var firstMillis = 0L
        private var reporting = UsageReporting.withInterval(CALL_INTERVAL_MILLIS)
        private var isCalling = false

        /** Counts that were sent before they were recorded, only with a planted fault. */
        private val unrecorded = TreeMap<Long, Map<String, Long>>()

        fun receive(incarnation: Long, epochMillis: Long, report: UsageReport) {
            val nowMillis = clocks.monotonicMillis
            if (gatheredTerm != term) {
                gatheredTerm = term
                ledger = UsageLedger.empty(windows, DUE_MILLIS)
                estimator = TrueTimeEstimator.EMPTY
                firstMillis = nowMillis
            }
            estimator = estimator.withSample(0, clocks.epochMillis, nowMillis)
                .withSample(incarnation, epochMillis, nowMillis)
            ledger = ledger.withReport(incarnation, report, nowMillis)
        }

        fun epochMillisOrNull(): Long? = if (clocks.monotonicMillis - firstMillis <
            1_500
        ) {
            null
        } else {
            estimator.epochMillisOrNull(clocks.monotonicMillis)
        }

        fun work() = confirm { confirmed, _ ->
            recordClosed(confirmed.token)
            reporting.unmarkedWindows(state.usage).forEach { commit(ControlCommand.MarkUsageReported(it)) }
            if (!isCalling && nextOrNull(confirmed.token, state.usage) != null) confirm(::call)
        }

        /**
         * Calls [action] with the confirmed token and the state that was known when the answer of the majority came,
         * which may be long before the answer is read.
         */
        private fun confirm(action: (ConfirmedToken, RecordedUsage) -> Unit) {
            val askedAt = clocks
            val confirmedTerm = term.takeIf { leader === this } ?: return
            if (!isCalm && random.nextInt(FREEZE_CHANCE) == 0) after(1) { freezeAndReplace(this) }
            after(if (isCalm) 5 else random.nextLong(1, 400)) {
                val known = state.usage
                whenRunning(0) {
                    tenure = tenure.withConfirmation(confirmedTerm, clocks.monotonicMillis)
                    val token = tenure.tokenOrNull(clocks.monotonicMillis) ?: return@whenRunning
                    val from = if (fault == UsageFault.LEASE_COUNTED_FROM_ANSWER) clocks else askedAt
                    action(ConfirmedToken(token, from), known)
                }
            }
        }

        private fun recordClosed(token: FencingToken) {
            val epochMillis = epochMillisOrNull() ?: return
            if (gatheredTerm != token.number) return
            ledger = ledger.started(state.usage.lastWindow, epochMillis)
            repeat(20) {
                val closed = ledger.closedWindowOrNull(clocks.monotonicMillis, epochMillis) ?: return
                if (fault == UsageFault.REPORT_CHANGED_AFTER_SEND) {
                    unrecorded[closed.number] = closed.counts
                } else {
                    val isKnown = isCalm || random.nextInt(10) != 0
                    if (!commit(ControlCommand.RecordUsage(closed.number, closed.counts)) || !isKnown) return
                }
                ledger = ledger.afterRecorded(closed.number, clocks.monotonicMillis)
            }
        }

        private fun commit(command: ControlCommand): Boolean {
            if (leader !== this) return false
            val applied = ControlStateMachine.apply(state, ++appliedIndex, command)
            state = applied.state
            return applied.outcome == ControlOutcome.Done
        }

        private fun nextOrNull(token: FencingToken, known: RecordedUsage): Long? =
            unrecorded.keys.firstOrNull() ?: reporting.nextWindowOrNull(known, token, clocks.monotonicMillis)

        private fun call(confirmed: ConfirmedToken, known: RecordedUsage) {
            val window = nextOrNull(confirmed.token, known) ?: return
            val counts = unrecorded[window] ?: known.unreported.getValue(window).counts
            isCalling = true
            whenRunning(if (isCalm) 5 else random.nextLong(1, 200)) {
                if (!confirmed.mayWriteAt(clocks)) {
                    end(window, confirmed.token, UsageReporting.Result.NOT_SENT, counts)
                } else {
                    provider.call(number, confirmed.token, window, counts, this) { result ->
                        end(window, confirmed.token, result, counts)
                    }
                }
            }
        }

        private fun end(window: Long, token: FencingToken, result: UsageReporting.Result, counts: Map<String, Long>) {
            isCalling = false
            reporting = reporting.afterCall(window, token, result, state.usage, clocks.monotonicMillis)
            if (result != UsageReporting.Result.ACCEPTED) return
            if (unrecorded.remove(window) != null) commit(ControlCommand.RecordUsage(window, counts))
            commit(ControlCommand.MarkUsageReported(window))
        }
    }

    private inner class Provider {
        private val reports = TreeMap<Long, Map<String, Long>>()
        private val firstAcceptedMillis = TreeMap<Long, Long>()
        private val holders = HashMap<Long, Int>()
        private val acted = ArrayList<Pair<Long, Int>>()
        private var highest = 0L
        var impairedUntil = 0L
        val reportedWindows: Int get() = firstAcceptedMillis.size

        fun call(
            holder: Int,
            token: FencingToken,
            window: Long,
            counts: Map<String, Long>,
            machine: Machine,
            answer: (UsageReporting.Result) -> Unit,
        ) {
            val isImpaired = now < impairedUntil
            when (if (isImpaired) random.nextInt(4) else 0) {
                0 -> after(transit()) {
                    checkOrder(holder, token.number, now)
                    accept(window, counts)
                    machine.whenRunning(transit()) { answer(UsageReporting.Result.ACCEPTED) }
                }
                // The call is refused, is lost, or is carried out seconds after the holder has given up waiting.
                1 -> machine.whenRunning(transit()) { answer(UsageReporting.Result.REPEATABLE) }
                2 -> machine.whenRunning(CALL_TIMEOUT_MILLIS) { answer(UsageReporting.Result.REPEATABLE) }
                else -> {
                    after(random.nextLong(2_000, 12_000)) { accept(window, counts) }
                    machine.whenRunning(CALL_TIMEOUT_MILLIS) { answer(UsageReporting.Result.REPEATABLE) }
                }
            }
        }

        private fun checkOrder(holder: Int, token: Long, nowMillis: Long) {
            check(token >= highest) { "token $token of holder $holder after token $highest" }
            highest = token
            val known = holders.getOrPut(token) { holder }
            check(known == holder) { "token $token of holders $known and $holder" }
            acted.removeAll { nowMillis - it.first > LEASE_MILLIS }
            acted.add(nowMillis to holder)
            val order = acted.map { it.second }.fold(listOf<Int>()) { list, next ->
                if (list.lastOrNull() == next) list else list + next
            }
            check(order.distinct().size == order.size) { "holders act in the order $order within $LEASE_MILLIS ms" }
        }

        private fun accept(window: Long, counts: Map<String, Long>) {
            val known = reports.getOrPut(window) { counts }
            check(known == counts) { "window $window reported as $known and $counts" }
            firstAcceptedMillis.putIfAbsent(window, now)
        }

        /** Checks that the windows that ended in time were reported in time and with nearly the true counts. */
        fun checkReports(firstWindow: Long, lastWindow: Long) = (firstWindow..lastWindow).forEach { window ->
            val counts = checkNotNull(reports[window]) { "window $window is not reported" }
            val lateMillis = firstAcceptedMillis.getValue(window) - windows.endMillis(window) - DUE_MILLIS
            check(lateMillis <= 0) { "window $window is $lateMillis ms late" }
            truth.getValue(window).forEach { (workspace, count) ->
                val reported = counts[workspace] ?: 0
                check(Math.abs(reported - count) <= TOLERANCE * count) {
                    "window $window, $workspace: $reported reported of $count"
                }
            }
        }
    }

    /** Runs the schedule; returns the number of windows that the provider has. Throws if a rule is violated. */
    fun run(): Int {
        entries.forEach { entry ->
            every(REQUEST_PERIOD_MILLIS, entry) { entry.serve() }
            every(1_000, entry) { entry.exchange() }
        }
        instances.forEach { every(500, it, it::work) }
        every(2_000, null, ::disturb)
        val endMillis = START_MILLIS + DURATION_MILLIS
        while (now < endMillis) {
            val event = events.poll()
            now = maxOf(now, event.atMillis)
            event.action()
        }
        val last = windows.at(endMillis - DUE_MILLIS) - 1
        if (isCalm) provider.checkReports(windows.at(START_MILLIS), last)
        return provider.reportedWindows
    }

    private fun disturb() {
        if (random.nextInt(4) == 0) (entries + instances).random(random).setClock()
        if (isCalm) return
        when (random.nextInt(8)) {
            0 -> leader = null
            1, 2 -> elect()
            3, 4 -> freezeAndReplace(instances.random(random))
            5 -> entries.filter { random.nextInt(3) == 0 }.forEach { it.cutUntil = now + random.nextLong(500, 9_000) }
            6 -> entries.random(random).freeze(random.nextLong(500, 5_000))
            else -> provider.impairedUntil = now + random.nextLong(500, 6_000)
        }
    }

    private fun freezeAndReplace(instance: Instance) {
        instance.freeze(random.nextLong(500, 9_000))
        if (instance === leader) after(random.nextLong(300, 1_200)) { if (instance === leader) elect() }
    }

    private fun elect() {
        leader = instances.random(random)
        if (fault != UsageFault.TOKEN_REUSED_AFTER_RESTART || random.nextBoolean()) term++
    }

    private fun transit(): Long = if (isCalm) random.nextLong(1, 40) else random.nextLong(1, 120)

    private fun after(delayMillis: Long, action: () -> Unit) {
        events.add(Event(now + delayMillis, order++, action))
    }

    /** Calls [action] after [delayMillis], but not while the machine is frozen. */
    private fun Machine.whenRunning(delayMillis: Long, action: () -> Unit) {
        events.add(
            Event(now + delayMillis, order++) {
                if (now < frozenUntil) whenRunning(frozenUntil - now, action) else action()
            },
        )
    }

    private fun every(periodMillis: Long, machine: Machine?, action: () -> Unit) {
        val next = {
            action()
            every(periodMillis, machine, action)
        }
        val delayMillis = periodMillis - random.nextLong(0, periodMillis / 10 + 1)
        if (machine == null) after(delayMillis, next) else machine.whenRunning(delayMillis, next)
    }

    private companion object {
        const val START_MILLIS = 1_767_000_000_000L
        const val DURATION_MILLIS = 90_000L
        const val ENTRIES = 9
        const val INSTANCES = 3
        const val WINDOW_MILLIS = 5_000L
        const val DUE_MILLIS = 10_000L
        const val LEASE_MILLIS = 3_000L
        const val TAKEOVER_MILLIS = LEASE_MILLIS + 1_000
        const val CALL_INTERVAL_MILLIS = 250L
        const val CALL_TIMEOUT_MILLIS = 1_000L
        const val MAX_SKEW_MILLIS = 4_000L

        /**
         * Every third clock is wrong by seconds in a calm schedule, the others by this; in a rough one all are wrong.
         */
        const val WRONG_CLOCK_INTERVAL = 3
        const val SMALL_SKEW_MILLIS = 30L
        const val REQUEST_PERIOD_MILLIS = 20L
        const val MAX_REQUESTS = 5

        /** One in so many confirmations is cut by a freeze. */
        const val FREEZE_CHANCE = 50
        const val TOLERANCE = 0.05
        val WORKSPACES = listOf("large", "middle", "small", "tiny").map(WorkspaceName::parse)
    }
}
