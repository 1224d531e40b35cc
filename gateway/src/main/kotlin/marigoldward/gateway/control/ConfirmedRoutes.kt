package marigoldward.gateway.control

import marigoldward.core.routes.RouteConfiguration
import marigoldward.core.time.ClockReading
import marigoldward.core.workspaces.ConfigurationFreshness
import marigoldward.gateway.GatewayMetrics
import marigoldward.support.time.SystemClocks
import marigoldward.wire.feed.EntryExchangeReply
import marigoldward.wire.feed.EntryExchangeRequest

/** Keeps whether the configuration in force was confirmed as the newest within [revocationMillis]. */
internal class ConfirmedRoutes(
    private val revocationMillis: Long,
    private val clocks: () -> ClockReading = SystemClocks::read,
) : ExchangePart {
    private var freshness = ConfigurationFreshness.unconfirmed(revocationMillis)
    private var startMillis: Long? = null
    private var isStartOver = false

    /** The time between two questions about the newest configuration, in milliseconds. */
    val askPeriodMillis: Long get() = freshness.askPeriodMillis

    /** Whether keys of the configuration with [version], which is in force, may still be accepted. */
    fun isConfirmed(version: Long): Boolean {
        val now = clocks()
        freshness = freshness.at(now)
        return freshness.isConfirmed(version, now)
    }

    /**
     * Whether callers should be sent here: once the first [configuration] needs no confirmation or has one, or for
     * requests without keys if it has had none for as long as keys are accepted. Stays true from then on, as the other
     * gateways can't accept keys either if control is lost.
     */
    fun isStartOver(configuration: RouteConfiguration): Boolean {
        if (isStartOver) return true
        val nowMillis = clocks().monotonicMillis
        val sinceMillis = startMillis ?: nowMillis.also { startMillis = it }
        isStartOver = configuration.workspaces == null ||
            isConfirmed(configuration.version) ||
            nowMillis - sinceMillis >= revocationMillis
        return isStartOver
    }

    /** Sets the metric of the time since the configuration with [version] was confirmed. */
    fun recordAge(version: Long) {
        val now = clocks()
        freshness = freshness.at(now)
        val ageMillis = freshness.ageMillisOrNull(version, now)
        GatewayMetrics.configurationAgeSeconds.set(ageMillis?.let { it / MILLIS_PER_SECOND } ?: UNKNOWN_AGE_SECONDS)
    }

    override fun addTo(request: EntryExchangeRequest): EntryExchangeRequest = request

    override fun onReply(reply: EntryExchangeReply, askedAt: ClockReading) {
        freshness = freshness.withReply(reply.routesVersion, askedAt, clocks())
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
        const val UNKNOWN_AGE_SECONDS = -1.0
    }
}
