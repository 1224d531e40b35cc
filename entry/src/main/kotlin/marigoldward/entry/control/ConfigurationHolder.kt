package marigoldward.entry.control

import io.prometheus.metrics.core.metrics.Gauge
import marigoldward.core.Outcome
import marigoldward.core.config.SiteConfiguration
import marigoldward.core.control.Fingerprint
import marigoldward.core.model.Revision
import marigoldward.core.model.SiteName
import marigoldward.core.model.UpstreamId
import marigoldward.core.serving.ServingEvent
import marigoldward.entry.serving.ServingLoop
import marigoldward.entry.serving.ServingLoopEvent
import marigoldward.support.declarations.DeclarationReader
import marigoldward.support.log.EventLog
import marigoldward.wire.distribution.DistributionUpdate
import marigoldward.wire.distribution.SubscriptionHub

/**
 * Holds the configuration and the restrictions that this entry uses, and passes them to the serving loop.
 *
 * A revision is applied as a whole or not at all, and never replaces a newer one.
 */
internal class ConfigurationHolder(
    private val site: SiteName,
    private val servingLoop: ServingLoop,
    private val hub: SubscriptionHub,
) {
    private var newestStateIndex = -1L
    private var quarantineVersion = -1L
    private var replicatedQuarantine = emptySet<Fingerprint>()
    private var enginesSetAside = emptySet<UpstreamId>()

    /** The configuration in use, or null before the first one. */
    @Volatile
    var current: SiteConfiguration? = null
        private set

    /** The revision of [current], or [Revision.NONE] before the first one. */
    @Volatile
    var revision: Revision = Revision.NONE
        private set

    /** The newest update, for entries that are behind; null before the first one. */
    @Volatile
    var newestUpdate: DistributionUpdate? = null
        private set

    /** The fingerprints that entries have quarantined and that may not have reached the control state yet. */
    @Volatile
    var reportedQuarantine: Set<Fingerprint> = emptySet()
        private set

    /** Applies the parts of [update] that are newer, and publishes it to subscribers. An older update is ignored. */
    @Synchronized
    fun apply(update: DistributionUpdate) {
        if (update.stateIndex < newestStateIndex || update.revision < revision) return
        newestStateIndex = update.stateIndex
        if (update.revision > revision) applyConfiguration(update)
        applyRestrictions(update)
        newestUpdate = update
        hub.publish(update)
    }

    /** Quarantines [fingerprints], which this entry or another one has reported. */
    @Synchronized
    fun quarantine(fingerprints: Set<Fingerprint>) {
        if (reportedQuarantine.containsAll(fingerprints)) return
        reportedQuarantine = (reportedQuarantine + fingerprints).toList().takeLast(MAX_REPORTED_QUARANTINE).toSet()
        publishRestrictions()
    }

    private fun applyConfiguration(update: DistributionUpdate) {
        val bundle = update.bundle ?: return
        when (val read = DeclarationReader.readSite(bundle, site)) {
            is Outcome.Success -> {
                current = read.value
                revision = update.revision
                servingLoop.put(ServingLoopEvent.ConfigurationChanged(read.value))
                revisionGauge.set(revision.number.toDouble())
                log.info("configuration_applied") { field("revision", revision) }
            }
            is Outcome.Failure -> log.warn("configuration_not_applied") {
                field("revision", update.revision)
                field("problem", read.error.first())
            }
        }
    }

    private fun applyRestrictions(update: DistributionUpdate) {
        val isQuarantineNewer = update.quarantineVersion > quarantineVersion
        if (!isQuarantineNewer && update.setAsideEngines.toSet() == enginesSetAside) return
        if (isQuarantineNewer) {
            quarantineVersion = update.quarantineVersion
            replicatedQuarantine = update.quarantine.toSet()
        }
        enginesSetAside = update.setAsideEngines.toSet()
        publishRestrictions()
    }

    private fun publishRestrictions() {
        servingLoop.put(ServingEvent.RestrictionsChanged(replicatedQuarantine + reportedQuarantine, enginesSetAside))
    }

    private companion object {
        const val MAX_REPORTED_QUARANTINE = 1_000
        val log = EventLog.fromName("configuration")
        val revisionGauge: Gauge =
            Gauge.builder().name("marigoldward_configuration_revision").help("The configuration in force").register()
    }
}
