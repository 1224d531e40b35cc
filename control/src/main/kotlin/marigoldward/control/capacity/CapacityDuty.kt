package marigoldward.control.capacity

import marigoldward.control.duties.DutyHolding
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
import marigoldward.core.model.PoolName
import marigoldward.support.directory.DirectoryReading
import marigoldward.support.duty.Duty
import marigoldward.support.log.EventLog
import marigoldward.support.time.MonotonicClock
import marigoldward.support.time.SystemClocks

/**
 * Orders engines from the provider while this replica leads, as [CapacityPlanner] decides. One thread does one call at
 * a time.
 *
 * An order without an answer may still be carried out seconds later, so its data centre gets no other one until it
 * can't arrive any more; the same one is repeated if it is due. A new leader takes the engines that are listed for what
 * was ordered.
 *
 * A conflict means that there are no such engines, or that the provider has seen a higher token. A majority confirms
 * right before each call that there is no higher term, so an instance that was replaced makes no further call.
 *
 * @param holder the name under which this instance performs the duty
 * @param scaling returns the services whose engines are ordered, by the configuration in force
 * @param directory returns the list of upstreams, or null if there is none yet
 * @param neededEngines returns the number of engines that the demand for a service needs, or null if it is not known
 */
internal class CapacityDuty(
    private val holder: String,
    private val calls: ProviderCalls,
    leaderTerm: LeaderTerm,
    private val scaling: () -> Map<PoolName, EngineScaling>,
    private val directory: () -> DirectoryReading?,
    private val neededEngines: (PoolName) -> Double?,
) : AutoCloseable {
    private data object Poll

    private data class Subject(val service: PoolName, val dataCentre: DataCentre)

    private class UnansweredOrder(val order: CapacityOrder, val untilMillis: Long)

    private var planners: Map<PoolName, CapacityPlanner> = emptyMap()
    private val unanswered = HashMap<Subject, UnansweredOrder>()
    private val holding = DutyHolding(ProviderDuty.ENGINE_ORDERS, holder, leaderTerm)
    private var isStale = false
    private val thread: Duty<Poll> = Duty.start("capacity", RING_EVENTS) { work() }

    /** Requests one round of the duty. */
    fun poll() {
        thread.offer(Poll)
    }

    override fun close() = thread.close()

    private fun work() {
        val services = scaling()
        if (holding.refresh(isAsked = services.isNotEmpty())) planners = emptyMap()
        if (holding.token == null) return
        val reading = directory() ?: return
        val ageMillis = MonotonicClock.nowMillis() - reading.readMillis
        recordAge(ageMillis)
        if (isStale) return
        planners = planners.filterKeys(services::containsKey)
        services.forEach { (service, rules) ->
            // The second round orders regular engines in place of reclaimable ones that are not to be had.
            val hasScarcity = plan(service, rules, reading.upstreams)
            if (hasScarcity) plan(service, rules, reading.upstreams)
        }
    }

    private fun recordAge(ageMillis: Long) {
        val wasStale = isStale
        isStale = ageMillis > MAX_DIRECTORY_AGE_MILLIS
        if (isStale && !wasStale) log.warn("engine_orders_paused") { field("directory_age_ms", ageMillis) }
        if (!isStale && wasStale) log.info("engine_orders_resumed") { field("directory_age_ms", ageMillis) }
    }

    /** Sends the orders that are due for [service], and returns whether there were no reclaimable engines for one. */
    private fun plan(service: PoolName, rules: EngineScaling, upstreams: List<ListedUpstream>): Boolean {
        val nowMillis = MonotonicClock.nowMillis()
        val serving = upstreams
            .filter { it.service == service }
            .distinctBy { it.id }
            .groupBy { it.dataCentre }
            .mapValues { (_, engines) ->
                val (reclaimable, regular) = engines.filterNot { it.isLeaving }.partition { it.isReclaimable }
                EngineCount(regular.size, reclaimable.size)
            }
        val planner = planners[service]?.withScaling(rules) ?: CapacityPlanner.of(rules)
        val needed = neededEngines(service)
        val step = planner.observe(serving, needed, nowMillis)
        planners = planners + (service to step.planner)
        CapacityMetrics.record(service, step.planner.wanted, serving, needed)
        val results = step.orders.map { send(service, it, serving[it.dataCentre], needed) }
        return CapacityPlanner.OrderResult.SCARCE in results
    }

    /** Sends [order] and returns its result, or null if it may not be sent now. */
    private fun send(
        service: PoolName,
        order: CapacityOrder,
        serving: EngineCount?,
        needed: Double?,
    ): CapacityPlanner.OrderResult? {
        val subject = Subject(service, order.dataCentre)
        val startMillis = MonotonicClock.nowMillis()
        val earlier = unanswered[subject]?.takeIf { startMillis < it.untilMillis }
        if (earlier != null && earlier.order != order) return null
        val confirmed = holding.confirmedOrNull() ?: return null
        val call = ProviderCalls.EngineOrder(
            holder,
            confirmed.token,
            service,
            order.dataCentre,
            order.count,
            order.isReclaimable,
        )
        val result = makeCall(call) { confirmed.mayWriteAt(SystemClocks.read()) }
        DutyMetrics.recordCall(ProviderDuty.ENGINE_ORDERS, result)
        val nowMillis = MonotonicClock.nowMillis()
        log.info("engines_ordered") {
            field("service", service)
            field("data_centre", order.dataCentre)
            field("count", order.count)
            field("reclaimable", order.isReclaimable)
            field("serving", serving?.let { "${it.regular}+${it.reclaimable}" })
            field("needed", needed?.let { "%.1f".format(it) })
            field("token", confirmed.token)
            field("result", result)
            field("took_ms", nowMillis - startMillis)
        }
        if (result is ProviderCalls.CallResult.Unknown) {
            unanswered[subject] = UnansweredOrder(order, nowMillis + CALL_LIFETIME_MILLIS)
        }
        val outcome = toOrderResult(result)
        planners = planners + (service to planners.getValue(service).withResult(order, outcome, nowMillis))
        return outcome
    }

    /** Makes [order]. A failure of any kind must not end the process; it doesn't tell whether the order was sent. */
    private fun makeCall(order: ProviderCalls.EngineOrder, mayWrite: () -> Boolean): ProviderCalls.CallResult = try {
        calls.orderEngines(order, mayWrite)
    } catch (failure: Throwable) {
        ProviderCalls.CallResult.Unknown(failure.toString())
    }

    private fun toOrderResult(result: ProviderCalls.CallResult): CapacityPlanner.OrderResult = when (result) {
        ProviderCalls.CallResult.Accepted -> CapacityPlanner.OrderResult.ACCEPTED
        ProviderCalls.CallResult.Conflict -> CapacityPlanner.OrderResult.SCARCE
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
