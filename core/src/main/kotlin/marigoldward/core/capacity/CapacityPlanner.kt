package marigoldward.core.capacity

import marigoldward.core.model.DataCentre

/**
 * Decides how many engines of one service to order in each data centre.
 *
 * The engines that were found count as what was ordered, until the demand shows otherwise. Most of them are replaced by
 * engines that cost less and may be reclaimed: these are ordered first, and regular ones are given up only once as many
 * reclaimable ones serve. When a data centre loses its reclaimable engines, they are ordered again; where there are
 * none to be had, or they don't come, regular ones take their place. Some regular engines always stay, so that a
 * service whose reclaimable engines all leave at once is not without any.
 *
 * A data centre where no engines of either kind can be had, or that lists none, is covered by the others. Otherwise
 * engines are replaced where they were, because transfers between data centres cost more than the difference in price.
 *
 * Immutable: each observation and each result of an order returns the next state.
 */
public class CapacityPlanner private constructor(
    private val scaling: EngineScaling,
    private val plans: Map<DataCentre, DataCentrePlan>,
    private val lowDemand: LowDemand?,
) {
    /** A demand for fewer engines than there are: [peakEngines] at most, since [sinceMillis]. */
    private data class LowDemand(val sinceMillis: Long, val peakEngines: Double)

    /** The next state and the orders to send now, at most one for each data centre. */
    public data class Step(val planner: CapacityPlanner, val orders: List<CapacityOrder>)

    /** The result of an order. */
    public enum class OrderResult {
        /** The provider has accepted the order. */
        ACCEPTED,

        /** There are no such engines in the data centre now. */
        SCARCE,

        /** The order has no effect, or its effect is not known. */
        FAILED,
    }

    /** The number of engines of both kinds that each data centre should have. */
    public val wanted: Map<DataCentre, Int> get() = plans.mapValues { (_, plan) -> plan.wanted }

    /** Returns the next state with other limits and prices. */
    public fun withScaling(changed: EngineScaling): CapacityPlanner =
        if (changed == scaling) this else CapacityPlanner(changed, plans, lowDemand)

    /**
     * Returns the next state and the orders after an observation at [nowMillis].
     *
     * @param serving the number of engines in each data centre that serve and are not leaving
     * @param neededEngines the number of engines that the demand needs in all data centres together, without any
     *   reserve, or null if the demand is not known
     */
    public fun observe(serving: Map<DataCentre, EngineCount>, neededEngines: Double?, nowMillis: Long): Step {
        val listed = (plans.keys + serving.keys + scaling.prices.keys).associateWith { dataCentre ->
            val plan = plans[dataCentre] ?: DataCentrePlan.found(serving[dataCentre] ?: EngineCount.NONE)
            plan.observed(serving[dataCentre], settleMillis, nowMillis)
        }
        val known = copy(plans = listed)
        val current = if (neededEngines == null) known.copy(lowDemand = null) else known.sized(neededEngines, nowMillis)
        val covering = current.coveringEngines(nowMillis)
        val orders = current.plans.mapNotNull { (dataCentre, plan) ->
            plan
                .orderOrNull(scaling, plan.wanted + (covering[dataCentre] ?: 0), nowMillis)
                ?.let { CapacityOrder(dataCentre, it.isReclaimable, it.count) }
        }
        val waiting = orders.associate { order ->
            order.dataCentre to current.plans.getValue(order.dataCentre).waitingUntil(nowMillis + ORDER_INTERVAL_MILLIS)
        }
        return Step(current.copy(plans = current.plans + waiting), orders)
    }

    /** Returns the next state after [order] ended as [result] at [nowMillis]. */
    public fun withResult(order: CapacityOrder, result: OrderResult, nowMillis: Long): CapacityPlanner {
        val plan = plans[order.dataCentre] ?: return this
        val changed = when (result) {
            OrderResult.ACCEPTED ->
                plan
                    .ordered(order.isReclaimable, order.count, nowMillis)
                    .waitingUntil(nowMillis + ORDER_INTERVAL_MILLIS)
            OrderResult.SCARCE -> {
                val count = if (order.isReclaimable) plan.ordered.reclaimable else plan.ordered.regular
                val known = if (order.count > count) plan.scarce(order.isReclaimable, nowMillis) else plan
                // Regular engines are ordered at once in place of reclaimable ones.
                val isReplaced = order.isReclaimable && order.count > count
                known.waitingUntil(if (isReplaced) nowMillis else nowMillis + RETRY_MILLIS)
            }
            OrderResult.FAILED -> plan.waitingUntil(nowMillis + RETRY_MILLIS)
        }
        return copy(plans = plans + (order.dataCentre to changed))
    }

    /** The time for an accepted order to show in the directory. */
    private val settleMillis: Long get() = scaling.bootMillis + LISTING_MILLIS

    /** Returns the engines that data centres should have in place of those that others can't get now. */
    private fun coveringEngines(nowMillis: Long): Map<DataCentre, Int> {
        val missing = plans.values.sumOf { it.unavailableEngines(nowMillis) }
        val able = plans.filterValues { it.canOrder(nowMillis) }
        if (missing == 0 || able.isEmpty()) return emptyMap()
        val total = able.values.sumOf { it.wanted } + missing
        return distributed(able, total).mapValues { (dataCentre, count) -> count - able.getValue(dataCentre).wanted }
    }

    /** Returns the state with the sizes that the demand needs: raised at once, and lowered slowly. */
    private fun sized(neededEngines: Double, nowMillis: Long): CapacityPlanner {
        val distinct = plans.mapValues { (_, plan) -> plan.withoutDoubleCount() }
        val total = distinct.values.sumOf { it.wanted }
        if (total == 0 && neededEngines <= 0) return copy(plans = distinct, lowDemand = null)
        val required = neededEngines * reserveFactor(distinct.values, total)
        return when {
            required > total -> copy(plans = resized(distinct, required * RAISE_FACTOR), lowDemand = null)
            required > total * LOW_DEMAND_FRACTION -> copy(plans = distinct, lowDemand = null)
            else -> {
                val low = LowDemand(
                    lowDemand?.sinceMillis ?: nowMillis,
                    maxOf(required, lowDemand?.peakEngines ?: 0.0),
                )
                if (nowMillis - low.sinceMillis < LOW_DEMAND_MILLIS) {
                    copy(plans = distinct, lowDemand = low)
                } else {
                    val lowered = maxOf(total * MAX_REDUCTION, low.peakEngines / REDUCED_LOAD)
                    copy(plans = resized(distinct, lowered), lowDemand = LowDemand(nowMillis, required))
                }
            }
        }
    }

    /**
     * Returns by how much the engines must exceed the need, so that those left carry it after one data centre's
     * reclaim.
     */
    private fun reserveFactor(known: Collection<DataCentrePlan>, total: Int): Double {
        if (total == 0 || !scaling.hasReclaimable) return 1.0
        val largestLoss = known.maxOf { it.wanted - DataCentrePlan.regularReserve(it.wanted) }
        val remaining = total - largestLoss
        return if (remaining <= 0) MAX_RESERVE_FACTOR else minOf(MAX_RESERVE_FACTOR, total / remaining.toDouble())
    }

    private fun resized(known: Map<DataCentre, DataCentrePlan>, engines: Double): Map<DataCentre, DataCentrePlan> {
        val counts = distributed(known, Math.ceil(engines).toInt())
        return known.mapValues { (dataCentre, plan) -> plan.copy(wanted = counts.getValue(dataCentre)) }
    }

    /** Divides [total] engines in proportion to what is wanted now; the cheapest get what can't be divided. */
    private fun distributed(known: Map<DataCentre, DataCentrePlan>, total: Int): Map<DataCentre, Int> {
        val weight = known.values.sumOf { it.wanted }
        val counts = known.mapValuesTo(LinkedHashMap()) { (_, plan) ->
            val fraction = if (weight == 0) 1.0 / known.size else plan.wanted / weight.toDouble()
            Math.floor(total * fraction).toInt().coerceIn(scaling.minEngines, scaling.maxEngines)
        }
        val cheapestFirst = known.keys.sortedWith(compareBy({ scaling.prices[it] ?: 1.0 }, { it.text }))
        var left = minOf(total, scaling.maxEngines * known.size) - counts.values.sum()
        while (left > 0) {
            val roomy = cheapestFirst.filter { counts.getValue(it) < scaling.maxEngines }.take(left)
            roomy.forEach { counts[it] = counts.getValue(it) + 1 }
            left -= roomy.size
        }
        return counts
    }

    private fun copy(
        plans: Map<DataCentre, DataCentrePlan> = this.plans,
        lowDemand: LowDemand? = this.lowDemand,
    ): CapacityPlanner = CapacityPlanner(scaling, plans, lowDemand)

    /** Creates planners. */
    public companion object {
        /** The time from one order for a data centre to the next. */
        private const val ORDER_INTERVAL_MILLIS = 3_000L
        private const val RETRY_MILLIS = 2_000L

        /** The time for a new engine to show in the directory, after it has booted. */
        private const val LISTING_MILLIS = 3_000L

        /** A rising demand rises further while engines boot. */
        private const val RAISE_FACTOR = 1.25

        /** The largest reserve. Where one data centre has almost all engines, no affordable reserve replaces it. */
        private const val MAX_RESERVE_FACTOR = 1.5

        /** Engines are given up only if the demand needs less than this part of them for [LOW_DEMAND_MILLIS]. */
        private const val LOW_DEMAND_FRACTION = 0.6

        /** Longer than a wave of the demand of one data centre (13 s), so that none is given up for its next wave. */
        private const val LOW_DEMAND_MILLIS = 15_000L

        /** The part of the engines that the highest demand of that time needs after engines were given up. */
        private const val REDUCED_LOAD = 0.75

        /** The smallest factor by which the number of engines is changed at once. */
        private const val MAX_REDUCTION = 0.6

        /** Returns the planner of a service that has made no observation. */
        public fun of(scaling: EngineScaling): CapacityPlanner = CapacityPlanner(scaling, emptyMap(), null)
    }
}
