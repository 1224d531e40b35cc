package marigoldward.gateway.control

import marigoldward.core.time.ClockReading
import marigoldward.wire.feed.EntryExchangeReply
import marigoldward.wire.feed.EntryExchangeRequest

/** A part of the gateway that reports to the leader of the control instances or learns from it. */
internal interface ExchangePart {
    /** Returns [request] with what this part reports. */
    fun addTo(request: EntryExchangeRequest): EntryExchangeRequest

    /** Records the confirmed [reply] to a request that was sent at [askedAt]. */
    fun onReply(reply: EntryExchangeReply, askedAt: ClockReading)
}
