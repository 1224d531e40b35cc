package marigoldward.gateway.demand

import marigoldward.core.capacity.ServiceDemand
import marigoldward.core.model.PoolName
import marigoldward.core.time.ClockReading
import marigoldward.gateway.control.ExchangePart
import marigoldward.wire.feed.EntryExchangeReply
import marigoldward.wire.feed.EntryExchangeRequest

/**
 * Counts the demand for the engines of each service and reports it to the leader of the control instances. Confined to the
 * event loop thread.
 *
 * @param isReported returns whether the engines of a service are ordered by its demand
 */
internal class MeasuredDemand(private val isReported: (PoolName) -> Boolean) : ExchangePart {
    private val totals = HashMap<PoolName, Totals>()

    private class Totals(
        var requests: Long = 0,
        var promptTokens: Long = 0,
        var outputTokens: Long = 0,
        var refused: Long = 0,
        var waiting: Int = 0,
    )

    /** Counts a request of a caller. */
    fun recordRequest(service: PoolName) {
        with(totals(service)) {
            requests++
            waiting++
        }
    }

    /** Counts a prompt of which an engine has to process [tokens] tokens. */
    fun recordPrompt(service: PoolName, tokens: Int) {
        totals(service).promptTokens += tokens
    }

    /** Counts a request for which at most [outputTokens] tokens are generated. */
    fun recordOutput(service: PoolName, outputTokens: Int) {
        totals(service).outputTokens += outputTokens
    }

    /** Records that a request has ended; [isRefused] is whether it was refused as not run. */
    fun recordEnd(service: PoolName, isRefused: Boolean) {
        with(totals(service)) {
            if (isRefused) refused++
            waiting--
        }
    }

    override fun addTo(request: EntryExchangeRequest): EntryExchangeRequest = request.copy(
        demand = totals.filterKeys(isReported).map { (service, counted) ->
            with(counted) { ServiceDemand(service, requests, promptTokens, outputTokens, refused, waiting) }
        },
    )

    override fun onReply(reply: EntryExchangeReply, askedAt: ClockReading) = Unit

    private fun totals(service: PoolName): Totals = totals.getOrPut(service) { Totals() }
}
