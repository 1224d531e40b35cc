package marigoldward.control.stages

import marigoldward.control.replica.ReplicaDutyEvent
import marigoldward.core.Outcome
import marigoldward.core.dispatch.EngineStatus
import marigoldward.core.dispatch.ListedUpstream
import marigoldward.core.dispatch.StageChange
import marigoldward.core.dispatch.StagePlanner
import marigoldward.core.model.FencingToken
import marigoldward.core.model.InstanceId
import marigoldward.core.model.PoolName
import marigoldward.core.model.UpstreamId
import marigoldward.support.duty.Duty
import marigoldward.support.log.EventLog
import marigoldward.support.time.MonotonicClock
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

/**
 * Changes the stages of engines while this replica leads: one thread that asks, plans and orders.
 *
 * The term is the fencing token. A new leader waits [settleMillis], in which an order of the one before may still
 * arrive, and confirms that it leads right before each order. An engine whose order got no answer is left alone until
 * the order can't arrive any more.
 */
internal class StageDuty(
    private val self: InstanceId,
    private val engines: EngineControl,
    private val replica: Duty<ReplicaDutyEvent>,
    private val settleMillis: Long,
    private val listed: () -> List<ListedUpstream>,
) : AutoCloseable {
    private data object Look

    private val planners = HashMap<PoolName, StagePlanner>()
    private val untouchableUntilMillis = HashMap<UpstreamId, Long>()
    private val silent = HashSet<UpstreamId>()
    private var ledTerm = 0L
    private var ledSinceMillis = 0L
    private var staleTerm = 0L
    private val duty: Duty<Look> = Duty.start("stages", RING_EVENTS) { look() }

    /** Asks for one look at the engines. */
    fun poll() {
        duty.offer(Look)
    }

    override fun close() = duty.close()

    private fun look() {
        val term = leadingTermOrNull() ?: return
        val nowMillis = MonotonicClock.nowMillis()
        if (term != ledTerm) {
            ledTerm = term
            ledSinceMillis = nowMillis
            planners.clear()
        }
        if (nowMillis - ledSinceMillis < settleMillis || term == staleTerm) return
        listed()
            .filter { it.stage != null && !it.isLeaving }
            .groupBy { it.service }
            .forEach { (service, engines) -> plan(service, engines) }
    }

    private fun plan(service: PoolName, listed: List<ListedUpstream>) {
        val gauges = listed.mapNotNull(::gaugeOrNull)
        val planner = planners[service] ?: StagePlanner.INITIAL
        val step = planner.observe(gauges, listed.size, MonotonicClock.nowMillis())
        planners[service] = step.planner
        step.changes.forEach { order(it, step.planner) }
    }

    private fun gaugeOrNull(engine: ListedUpstream): EngineStatus? = when (val gauge = engines.gauge(engine)) {
        is Outcome.Success -> {
            if (silent.remove(engine.id)) log.info("engine_regained") { field("engine", engine.id) }
            gauge.value
        }
        is Outcome.Failure -> {
            if (silent.add(engine.id)) {
                log.warn("engine_lost") {
                    field("engine", engine.id)
                    field("reason", gauge.error)
                }
            }
            null
        }
    }

    private fun order(change: StageChange, planner: StagePlanner) {
        val gauge = change.status
        val untilMillis = untouchableUntilMillis[gauge.engine.id] ?: 0
        if (MonotonicClock.nowMillis() < untilMillis) return
        val term = leadingTermOrNull()
        if (term != ledTerm) return
        val token = FencingToken.fromNumber(term)
        val order = EngineControl.StageOrder(gauge.engine, change.newStage, self, token, gauge.orderSequence)
        val result = engines.send(order)
        settle(gauge, result)
        log.info("stage_ordered") {
            field("engine", gauge.engine.id)
            field("stage", change.newStage.name.lowercase())
            field("token", token)
            field("queue", "%.2f".format(planner.prefillQueue))
            field("load", "%.2f".format(planner.decodeLoad))
            field("result", result)
        }
    }

    private fun settle(gauge: EngineStatus, result: EngineControl.OrderResult) {
        when (result) {
            is EngineControl.OrderResult.Unknown ->
                untouchableUntilMillis[gauge.engine.id] = MonotonicClock.nowMillis() + LATE_ORDER_MILLIS
            EngineControl.OrderResult.StaleToken -> staleTerm = ledTerm
            EngineControl.OrderResult.Accepted, is EngineControl.OrderResult.Refused -> Unit
        }
    }

    /** Returns the term in which this replica leads, confirmed by a quorum, or null. */
    private fun leadingTermOrNull(): Long? {
        val answer = CompletableFuture<Long?>()
        if (!replica.offer(ReplicaDutyEvent.ConfirmLeading(answer::complete))) return null
        return try {
            answer.get(CONFIRM_MILLIS, TimeUnit.MILLISECONDS)
        } catch (_: TimeoutException) {
            null
        }
    }

    private companion object {
        const val RING_EVENTS = 2
        const val CONFIRM_MILLIS = 1_000L

        /** How long an order that got no answer may still be carried out, in milliseconds. */
        const val LATE_ORDER_MILLIS = 15_000L
        val log = EventLog.fromName("stages")
    }
}
