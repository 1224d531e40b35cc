package marigoldward.core.capacity

/**
 * The plan for the engines of one service in one data centre.
 *
 * @property wanted the number of engines of both kinds that it should have
 * @property ordered what was ordered last, as far as it has come or may still come
 * @property serving what was listed last as serving
 * @property isDoubleCounted whether [wanted] may count engines twice, because an exchange of regular by reclaimable
 *   engines was in progress when they were found
 * @property shortSinceMillis since when fewer engines serve than were ordered, or null
 * @property absentSinceMillis since when the data centre is not listed, or null
 * @property acceptedMillis when an order was last accepted, or null
 * @property scarceUntilMillis until when no reclaimable engines are ordered, as there were none to be had
 * @property scarcities how many orders for reclaimable engines in a row have brought none
 * @property unavailableUntilMillis until when no engines of either kind are expected to be had
 * @property nextOrderMillis when the next order may be sent
 */
internal data class DataCentrePlan(
    val wanted: Int,
    val ordered: EngineCount,
    val serving: EngineCount,
    val isDoubleCounted: Boolean,
    val shortSinceMillis: Long? = null,
    val absentSinceMillis: Long? = null,
    val acceptedMillis: Long? = null,
    val scarceUntilMillis: Long = Long.MIN_VALUE,
    val scarcities: Int = 0,
    val unavailableUntilMillis: Long = Long.MIN_VALUE,
    val nextOrderMillis: Long = Long.MIN_VALUE,
) {
    /** An order for [count] engines of one kind. */
    data class Order(val isReclaimable: Boolean, val count: Int)

    /**
     * Returns the plan after [listed] engines were listed as serving, or null if the data centre is not listed.
     *
     * Reclaimable engines that all leave at once were reclaimed. If engines are short for [settleMillis] after an
     * order, the order wasn't carried out, and if they are short so long otherwise, those that crashed don't come back.
     * In each case, what is missing is no longer counted as ordered.
     */
    fun observed(listed: EngineCount?, settleMillis: Long, nowMillis: Long): DataCentrePlan {
        val count = listed ?: EngineCount.NONE
        // An entry of the list may be missing for one reading; a data centre that is not listed may only be cut off.
        if (listed == null) {
            val absent = copy(serving = count, absentSinceMillis = absentSinceMillis ?: nowMillis)
            val isLost = isAbsentFor(ABSENT_MILLIS, nowMillis) && !isSettling(settleMillis, nowMillis)
            return if (isLost && ordered.total > 0) absent.lost(nowMillis) else absent
        }
        val isReclaimed = count.reclaimable == 0 && serving.reclaimable > 0
        if (isReclaimed && isDoubleCounted) return withoutDoubleCount().observed(listed, settleMillis, nowMillis)
        val kept = if (isReclaimed) ordered.copy(reclaimable = 0) else ordered
        val isShort = count.regular < kept.regular || count.reclaimable < kept.reclaimable
        val shortSince = if (isShort) shortSinceMillis ?: nowMillis else null
        val isOverdue = shortSince != null &&
            nowMillis - shortSince >= settleMillis &&
            !isSettling(settleMillis, nowMillis)
        val hasNoneCome = isOverdue && count.reclaimable < kept.reclaimable
        val next = copy(
            ordered = if (isOverdue) count else kept.atLeast(count, isSettling(settleMillis, nowMillis)),
            serving = count,
            shortSinceMillis = shortSince.takeUnless { isOverdue },
            absentSinceMillis = null,
            scarcities = if (count.reclaimable >= kept.reclaimable && count.reclaimable > 0) 0 else scarcities,
        )
        return if (hasNoneCome) next.scarce(isReclaimable = true, nowMillis) else next
    }

    /** Returns the plan after an order was accepted. */
    fun ordered(isReclaimable: Boolean, count: Int, nowMillis: Long): DataCentrePlan = copy(
        ordered = if (isReclaimable) ordered.copy(reclaimable = count) else ordered.copy(regular = count),
        acceptedMillis = nowMillis,
        shortSinceMillis = null,
    )

    /**
     * Returns the plan after it was found that there are no engines of a kind; asked for again after twice the time.
     */
    fun scarce(isReclaimable: Boolean, nowMillis: Long): DataCentrePlan = if (isReclaimable) {
        copy(
            scarceUntilMillis = nowMillis + (SCARCE_MILLIS shl minOf(scarcities, MAX_DOUBLINGS)),
            scarcities = scarcities + 1,
        )
    } else {
        copy(unavailableUntilMillis = nowMillis + UNAVAILABLE_MILLIS)
    }

    fun waitingUntil(millis: Long): DataCentrePlan = copy(nextOrderMillis = millis)

    /** Returns the plan without the regular engines that reclaimable ones were about to replace. */
    fun withoutDoubleCount(): DataCentrePlan = if (isDoubleCounted) {
        val besides = Math.ceil(ordered.reclaimable * REGULAR_FRACTION / (1 - REGULAR_FRACTION)).toInt()
        val reserve = minOf(ordered.regular, besides)
        copy(wanted = maxOf(ordered.regular, ordered.reclaimable + reserve), isDoubleCounted = false)
    } else {
        this
    }

    /** Whether engines can be ordered, as far as is known. */
    fun canOrder(nowMillis: Long): Boolean = nowMillis >= unavailableUntilMillis && absentSinceMillis == null

    /** Returns how many engines are wanted that can't be had now. */
    fun unavailableEngines(nowMillis: Long): Int = when {
        nowMillis < unavailableUntilMillis || isAbsentFor(ABSENT_MILLIS, nowMillis) -> maxOf(0, wanted - serving.total)
        else -> 0
    }

    /** Returns the order to send for [target] engines of both kinds, or null if none is due. */
    fun orderOrNull(scaling: EngineScaling, target: Int, nowMillis: Long): Order? {
        val isUnknownAbsence = absentSinceMillis != null && !isAbsentFor(ABSENT_MILLIS, nowMillis)
        if (nowMillis < nextOrderMillis || isUnknownAbsence) return null
        val size = target.coerceIn(scaling.minEngines, scaling.maxEngines)
        val reserve = regularReserve(size)
        val isScarce = !scaling.hasReclaimable || nowMillis < scarceUntilMillis
        val mostReclaimable = if (isScarce) minOf(size - reserve, ordered.reclaimable) else size - reserve
        val room = maxOf(0, scaling.maxEngines - maxOf(serving.regular, ordered.regular))
        val reclaimable = minOf(mostReclaimable, maxOf(room, ordered.reclaimable))
        if (reclaimable > ordered.reclaimable && !isDoubleCounted) return Order(isReclaimable = true, reclaimable)
        // What was ordered and is missing may still come, or come back: it counts when more engines are ordered, but
        // not when others are given up.
        val coming = maxOf(serving.reclaimable, ordered.reclaimable)
        val regularToHave = minOf(maxOf(reserve, size - coming), scaling.maxEngines - coming)
        val regularToKeep = maxOf(reserve, size - minOf(serving.reclaimable, mostReclaimable))
        return when {
            regularToHave > ordered.regular && nowMillis >= unavailableUntilMillis -> Order(
                isReclaimable = false,
                regularToHave,
            )
            isDoubleCounted -> null
            regularToKeep < ordered.regular && serving.total >= size -> Order(isReclaimable = false, regularToKeep)
            reclaimable < ordered.reclaimable -> Order(isReclaimable = true, reclaimable)
            else -> null
        }
    }

    /** Whether an accepted order may still be carried out. */
    private fun isSettling(settleMillis: Long, nowMillis: Long): Boolean =
        acceptedMillis?.let { nowMillis - it < settleMillis } ?: false

    private fun isAbsentFor(millis: Long, nowMillis: Long): Boolean =
        absentSinceMillis?.let { nowMillis - it >= millis } ?: false

    /** Returns the plan without any engines; an order that has brought none is not repeated at once. */
    private fun lost(nowMillis: Long): DataCentrePlan = copy(
        ordered = EngineCount.NONE,
        nextOrderMillis = if (acceptedMillis == null) nextOrderMillis else nowMillis + UNAVAILABLE_MILLIS,
    )

    /**
     * Counts engines as ordered that came after their order had been given up; those being removed are still listed.
     */
    private fun EngineCount.atLeast(count: EngineCount, isSettling: Boolean): EngineCount = if (isSettling) {
        this
    } else {
        EngineCount(maxOf(regular, count.regular), maxOf(reclaimable, count.reclaimable))
    }

    companion object {
        /** The part of the engines of a data centre that is never reclaimable, so that losing these is no outage. */
        private const val REGULAR_FRACTION = 0.12

        /** Longer than a data centre is missing from the list for want of one reading. */
        private const val ABSENT_MILLIS = 10_000L

        /** How long a data centre without reclaimable engines is not asked for them, the first time. */
        private const val SCARCE_MILLIS = 20_000L
        private const val MAX_DOUBLINGS = 2

        /** How long a data centre without engines of either kind is covered by others. */
        private const val UNAVAILABLE_MILLIS = 20_000L

        /**
         * Returns the plan for a data centre in which [count] engines were found, none of which this planner ordered.
         */
        fun found(count: EngineCount): DataCentrePlan {
            val isExchange = count.reclaimable > 0 && count.regular > regularReserve(count.total)
            return DataCentrePlan(count.total, count, count, isExchange)
        }

        /** Returns how many of [count] engines are never reclaimable. */
        fun regularReserve(count: Int): Int = Math.ceil(count * REGULAR_FRACTION).toInt()
    }
}
