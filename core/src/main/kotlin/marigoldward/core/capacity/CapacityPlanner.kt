package marigoldward.core.capacity

import marigoldward.core.model.DataCentre

/**
 * Decides how many engines of one service to order in each data centre.
 *
 * The engines that were found count as what was ordered, until the demand shows otherwise. Most of them are replaced by
 * engines that cost less and may be reclaimed: these are ordered first, and regular ones are given up only once as many
 * reclaimable ones serve. When a data centre loses its reclaimable engines, they are ordered again; where there are none
 * to be had, regular ones take their place. Some regular engines always stay, so that a service whose reclaimable
 * engines all leave at once is not without any.
 *
 * Immutable: each observation and each result of an order returns the next state.
 */
public class CapacityPlanner private constructor(
    private val scaling: EngineScaling,
    private val plans: Map<DataCentre, Plan>,
    private val lowDemandSinceMillis: Long?,
) {
    /**
     * The plan for one data centre.
     *
     * @property wanted the number of engines that it should have
     * @property ordered what was ordered last
     * @property scarceUntilMillis until when no reclaimable engines are ordered, as there were none to be had
     * @property nextOrderMillis when the next order may be sent
     */
    private data class Plan(
        val wanted: Int,
        val ordered: EngineCount,
        val scarceUntilMillis: Long = Long.MIN_VALUE,
        val nextOrderMillis: Long = Long.MIN_VALUE,
    )

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

    /**
     * Returns the next state and the orders after an observation at [nowMillis].
     *
     * @param serving the number of engines in each data centre that serve and are not leaving
     * @param neededEngines the number of engines that the demand needs in all data centres together, without any reserve,
     *   or null if the demand is not known
     */
    public fun observe(serving: Map<DataCentre, EngineCount>, neededEngines: Double?, nowMillis: Long): Step {
        val found = serving.mapValues { (dataCentre, count) -> plans[dataCentre] ?: Plan(count.total, count) }
        // A data centre that shows no engines may only be cut off.
        val known = plans + found
        val sized = if (neededEngines == null) this else withDemand(known, neededEngines, nowMillis)
        val current = if (sized === this) copy(plans = known) else sized
        val orders = current.plans.mapNotNull { (dataCentre, plan) ->
            val count = serving[dataCentre] ?: return@mapNotNull null
            if (nowMillis < plan.nextOrderMillis) null else current.orderOrNull(dataCentre, plan, count, nowMillis)
        }
        val waiting = orders.fold(current.plans) { plans, order ->
            plans +
                (
                    order.dataCentre to plans.getValue(
                        order.dataCentre,
                    ).copy(nextOrderMillis = nowMillis + ORDER_INTERVAL)
                    )
        }
        return Step(current.copy(plans = waiting), orders)
    }

    /** Returns the next state after [order] ended as [result] at [nowMillis]. */
    public fun withResult(order: CapacityOrder, result: OrderResult, nowMillis: Long): CapacityPlanner {
        val plan = plans[order.dataCentre] ?: return this
        val changed = when (result) {
            OrderResult.ACCEPTED -> plan.copy(
                ordered = if (order.isReclaimable) {
                    plan.ordered.copy(reclaimable = order.count)
                } else {
                    plan.ordered.copy(regular = order.count)
                },
                nextOrderMillis = nowMillis + ORDER_INTERVAL,
            )
            // Regular engines are ordered at once in their place.
            OrderResult.SCARCE -> plan.copy(
                scarceUntilMillis = nowMillis + SCARCE_MILLIS,
                nextOrderMillis = nowMillis,
            )
            OrderResult.FAILED -> plan.copy(nextOrderMillis = nowMillis + RETRY_MILLIS)
        }
        return copy(plans = plans + (order.dataCentre to changed))
    }

    private fun orderOrNull(
        dataCentre: DataCentre,
        plan: Plan,
        serving: EngineCount,
        nowMillis: Long,
    ): CapacityOrder? {
        val wanted = plan.wanted.coerceIn(scaling.minEngines, scaling.maxEngines)
        val reserve = minOf(wanted, maxOf(scaling.minEngines, Math.ceil(wanted * REGULAR_FRACTION).toInt(), 1))
        val mayReclaim = (scaling.reclaimablePrice ?: 1.0) < 1 && nowMillis >= plan.scarceUntilMillis
        val wantedReclaimable = if (mayReclaim) wanted - reserve else minOf(serving.reclaimable, wanted - reserve)
        val regularNow = maxOf(serving.regular, plan.ordered.regular)
        val reclaimable = minOf(wantedReclaimable, scaling.maxEngines - regularNow)
        // Engines that were reclaimed are no longer what was ordered.
        val lostReclaimable = plan.ordered.reclaimable > 0 && serving.reclaimable == 0
        if (mayReclaim && (reclaimable != plan.ordered.reclaimable || lostReclaimable) && reclaimable > 0) {
            return CapacityOrder(dataCentre, isReclaimable = true, reclaimable)
        }
        val regular = maxOf(reserve, wanted - minOf(serving.reclaimable, maxOf(0, wantedReclaimable)))
        val isOrderDue = if (regular > plan.ordered.regular) true else serving.total >= wanted
        return if (regular != plan.ordered.regular && isOrderDue) CapacityOrder(dataCentre, false, regular) else null
    }

    /** Returns the state with the sizes that the demand needs: raised at once, and lowered slowly. */
    private fun withDemand(known: Map<DataCentre, Plan>, neededEngines: Double, nowMillis: Long): CapacityPlanner {
        val total = known.values.sumOf { it.wanted }
        if (known.isEmpty() || total == 0) return copy(plans = known)
        // What is left has to carry the demand when one data centre loses its engines.
        val others = if (known.size > 1) known.size / (known.size - 1.0) else 1.0
        val required = neededEngines * others
        return when {
            required > total -> copy(
                plans = scaled(known, required * RAISE_FACTOR / total),
                lowDemandSinceMillis = null,
            )
            required > total * LOW_DEMAND_FRACTION -> copy(plans = known, lowDemandSinceMillis = null)
            lowDemandSinceMillis == null -> copy(plans = known, lowDemandSinceMillis = nowMillis)
            nowMillis - lowDemandSinceMillis < LOW_DEMAND_MILLIS -> copy(plans = known)
            else -> {
                val factor = maxOf(MAX_REDUCTION, required / LOW_DEMAND_FRACTION / total)
                copy(plans = scaled(known, factor), lowDemandSinceMillis = nowMillis)
            }
        }
    }

    private fun scaled(known: Map<DataCentre, Plan>, factor: Double): Map<DataCentre, Plan> =
        known.mapValues { (_, plan) ->
            val wanted = Math.ceil(plan.wanted * factor).toInt()
            plan.copy(wanted = wanted.coerceIn(scaling.minEngines, scaling.maxEngines))
        }

    private fun copy(
        plans: Map<DataCentre, Plan> = this.plans,
        lowDemandSinceMillis: Long? = this.lowDemandSinceMillis,
    ): CapacityPlanner = CapacityPlanner(scaling, plans, lowDemandSinceMillis)

    /** Creates planners. */
    public companion object {
        /** The part of the engines of a data centre that is never reclaimable, so that losing these is no outage. */
        private const val REGULAR_FRACTION = 0.12

        /** The time for an order to show in the directory. */
        private const val ORDER_INTERVAL = 3_000L
        private const val RETRY_MILLIS = 2_000L

        /** How long a data centre without reclaimable engines is not asked for them. */
        private const val SCARCE_MILLIS = 20_000L

        /** A rising demand rises further while engines boot. */
        private const val RAISE_FACTOR = 1.25

        /** Engines are given up only if the demand needs less than this part of them, for [LOW_DEMAND_MILLIS]. */
        private const val LOW_DEMAND_FRACTION = 0.6
        private const val LOW_DEMAND_MILLIS = 15_000L

        /** The smallest factor by which the number of engines is changed at once. */
        private const val MAX_REDUCTION = 0.75

        /** Returns the planner of a service that has made no observation. */
        public fun of(scaling: EngineScaling): CapacityPlanner = CapacityPlanner(scaling, emptyMap(), null)
    }
}
