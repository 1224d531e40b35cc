package marigoldward.gateway.control

import marigoldward.core.workspaces.ClockReading
import marigoldward.core.workspaces.ConfigurationFreshness
import marigoldward.gateway.GatewayMetrics
import marigoldward.wire.feed.EntryExchangeReply
import marigoldward.wire.feed.EntryExchangeRequest

/** Keeps whether the configuration in force was confirmed as the newest within [revocationMillis]. */
internal class ConfirmedRoutes(revocationMillis: Long, private val clocks: () -> ClockReading = SystemClocks::read) :
    ExchangePart {
    private var freshness = ConfigurationFreshness.unconfirmed(revocationMillis)

    /** Whether keys of the configuration with [version], which is in force, may still be accepted. */
    fun isConfirmed(version: Long): Boolean = freshness.isConfirmed(version, clocks())

    /** Sets the metric of the time since the configuration with [version] was confirmed. */
    fun recordAge(version: Long) {
        val ageMillis = freshness.ageMillisOrNull(version, clocks())
        GatewayMetrics.configurationAgeSeconds.set(ageMillis?.let { it / MILLIS_PER_SECOND } ?: UNKNOWN_AGE_SECONDS)
    }

    override fun addTo(request: EntryExchangeRequest): EntryExchangeRequest = request

    override fun onReply(reply: EntryExchangeReply, askedAt: ClockReading) {
        freshness = freshness.withReply(reply.routesVersion, askedAt)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
        const val UNKNOWN_AGE_SECONDS = -1.0
    }
}
