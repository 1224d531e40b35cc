package marigoldward.control.exchange

import marigoldward.wire.feed.EntryExchangeReply
import marigoldward.wire.feed.EntryExchangeRequest

/** A part of the leader that learns from the entries' requests and tells them something in the replies. Thread-safe. */
internal interface ExchangePart {
    /** Records [request], which this instance received at [receivedMillis] of monotonic time while it leads. */
    fun onRequest(request: EntryExchangeRequest, receivedMillis: Long)

    /** Returns [reply] with what this part tells the entry of [request]. */
    fun addTo(reply: EntryExchangeReply, request: EntryExchangeRequest): EntryExchangeReply
}
