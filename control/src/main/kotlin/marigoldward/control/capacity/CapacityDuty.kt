package marigoldward.control.capacity

import marigoldward.control.duties.DutyMetrics
import marigoldward.control.duties.ProviderCalls
import marigoldward.control.duties.ProviderDuty
import marigoldward.control.replica.LeaderTerm
import marigoldward.core.capacity.CapacityOrder
import marigoldward.core.capacity.CapacityPlanner
import marigoldward.core.capacity.EngineCount
import marigoldward.core.capacity.EngineScaling
import marigoldward.core.dispatch.ListedUpstream
import marigoldward.core.model.DataCentre
import marigoldward.core.model.FencingToken
import marigoldward.core.model.PoolName
import marigoldward.support.directory.DirectoryReading
import marigoldward.support.duty.Duty
import marigoldward.support.log.EventLog
import marigoldward.support.time.MonotonicClock

/**
 * Orders engines from the provider while this replica leads, as [CapacityPlanner] decides. One thread does one call at a
 * time.
 *
 * An order without an answer may still be carried out seconds later, so its data centre gets no other one until it can't
 * arrive any more. A new leader takes the engines that are listed for what was ordered.
 *
 * @param holder the name under which this instance performs the duty
 * @param scaling returns the services whose engines are ordered, by the configuration in force
 * @param directory returns the list of upstreams, or null if there is none yet
 * @param neededEngines returns the number of engines that the demand for a service needs, or null if it is not known
 */
internal class CapacityDuty(
    private val holder: String,
    private val calls: ProviderCalls,
    private val leaderTerm: LeaderTerm,
    private val scaling: () -> Map<PoolName, EngineScaling>,
    private val directory: () -> DirectoryReading?,
    private val neededEngines: (PoolName) -> Double?,
) : AutoCloseable {
    private data object Poll

    private data class Subject(val service: PoolName, val dataCentre: DataCentre)

    private var planners: Map<PoolName, CapacityPlanner> = emptyMap()
    private val blockedUntilMillis = HashMap<Subject, Long>()
    private var token: FencingToken? = null
    private val thread: Duty<Poll> = Duty.start("capacity", RING_EVENTS) { work() }

    /** Requests one round of the duty. */
    fun poll() {
        thread.offer(Poll)
    }

    override fun close() = thread.close()

    private fun work() {
        val services = scaling()
        val current = if (services.isEmpty()) null else leaderTerm.tokenOrNull()
        if (current != token) {
            planners = emptyMap()
            if (current == null) {
                DutyMetrics.recordNotHolder(ProviderDuty.ENGINE_ORDERS, holder)
            } else {
                DutyMetrics.recordHolder(ProviderDuty.ENGINE_ORDERS, holder, current)
            }
        }
        token = current
        if (current == null) return
        val reading = directory() ?: return
        if (MonotonicClock.nowMillis() - reading.readMillis > MAX_DIRECTORY_AGE_MILLIS) return
        services.forEach { (service, rules) -> plan(service, rules, reading.upstreams) }
    }

    private fun plan(service: PoolName, rules: EngineScaling, upstreams: List<ListedUpstream>) {
        val nowMillis = MonotonicClock.nowMillis()
        val serving = upstreams
            .filter { it.service == service && !it.isLeaving }
            .groupBy { it.dataCentre }
            .mapValues { (_, engines) ->
                val reclaimable = engines.count { it.isReclaimable }
                EngineCount(engines.size - reclaimable, reclaimable)
            }
        val planner = planners[service] ?: CapacityPlanner.of(rules)
        val step = planner.observe(serving, neededEngines(service), nowMillis)
        planners = planners + (service to step.planner)
        step.orders.forEach { send(service, it, serving[it.dataCentre]) }
    }

    private fun send(service: PoolName, order: CapacityOrder, serving: EngineCount?) {
        val subject = Subject(service, order.dataCentre)
        val startMillis = MonotonicClock.nowMillis()
        if (startMillis < (blockedUntilMillis[subject] ?: Long.MIN_VALUE)) return
        val confirmed = leaderTerm.confirmedOrNull() ?: return
        val current = confirmed.token
        if (current != token) return
        val call = ProviderCalls.EngineOrder(
            holder,
            current,
            service,
            order.dataCentre,
            order.count,
            order.isReclaimable,
        )
        val result = calls.orderEngines(call) { confirmed.mayWriteAt(LeaderTerm.readClocks()) }
        DutyMetrics.recordCall(ProviderDuty.ENGINE_ORDERS, result)
        val nowMillis = MonotonicClock.nowMillis()
        log.info("engines_ordered") {
            field("service", service)
            field("data_centre", order.dataCentre)
            field("count", order.count)
            field("reclaimable", order.isReclaimable)
            field("serving", serving?.let { "${it.regular}+${it.reclaimable}" })
            field("needed", neededEngines(service)?.let { "%.1f".format(it) })
            field("token", current)
            field("result", result)
            field("took_ms", nowMillis - startMillis)
        }
        if (result is ProviderCalls.CallResult.Unknown) blockedUntilMillis[subject] = nowMillis + CALL_LIFETIME_MILLIS
        val planner = planners.getValue(service).withResult(order, toOrderResult(result, order), nowMillis)
        planners = planners + (service to planner)
    }

    private fun toOrderResult(result: ProviderCalls.CallResult, order: CapacityOrder): CapacityPlanner.OrderResult =
        when (result) {
            ProviderCalls.CallResult.Accepted -> CapacityPlanner.OrderResult.ACCEPTED
            ProviderCalls.CallResult.Conflict ->
                if (order.isReclaimable) CapacityPlanner.OrderResult.SCARCE else CapacityPlanner.OrderResult.FAILED
            is ProviderCalls.CallResult.NotSent,
            is ProviderCalls.CallResult.Refused,
            is ProviderCalls.CallResult.TryLater,
            is ProviderCalls.CallResult.Unknown,
            -> CapacityPlanner.OrderResult.FAILED
        }

    private companion object {
        const val RING_EVENTS = 2

        /** A list that is older tells nothing of engines that were reclaimed since. */
        const val MAX_DIRECTORY_AGE_MILLIS = 3_000L

        /** How long a call without an answer may still be carried out. */
        const val CALL_LIFETIME_MILLIS = 15_000L
        val log = EventLog.fromName("capacity")
    }
}
