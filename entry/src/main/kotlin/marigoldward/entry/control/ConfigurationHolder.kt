package marigoldward.entry.control

import io.prometheus.metrics.core.metrics.Gauge
import marigoldward.core.Outcome
import marigoldward.core.config.SiteConfiguration
import marigoldward.core.control.Fingerprint
import marigoldward.core.model.Revision
import marigoldward.core.model.SiteName
import marigoldward.core.model.UpstreamId
import marigoldward.core.serving.ServingEvent
import marigoldward.entry.serving.ServingDuty
import marigoldward.entry.serving.ServingDutyEvent
import marigoldward.support.declarations.DeclarationReader
import marigoldward.support.log.EventLog
import marigoldward.wire.distribution.DistributionUpdate
import marigoldward.wire.distribution.SubscriptionHub

/**
 * The configuration in force here. A revision is applied whole, and never one below the highest that was seen.
 */
internal class ConfigurationHolder(
    private val site: SiteName,
    private val serving: ServingDuty,
    private val hub: SubscriptionHub,
) {
    private var newestIndex = -1L
    private var quarantineVersion = -1L
    private var sharedQuarantine = emptySet<Fingerprint>()
    private var setAside = emptySet<UpstreamId>()

    /** The configuration, or null before the first. */
    @Volatile
    var current: SiteConfiguration? = null
        private set

    /** Its revision. */
    @Volatile
    var revision: Revision = Revision.NONE
        private set

    /** The newest update, to be passed on. */
    @Volatile
    var newest: DistributionUpdate? = null
        private set

    /** The fingerprints that entries quarantined themselves and that may not have reached the control state. */
    @Volatile
    var convicted: Set<Fingerprint> = emptySet()
        private set

    /** Puts [update] in force as far as it is newer. */
    @Synchronized
    fun apply(update: DistributionUpdate) {
        if (update.stateIndex < newestIndex || update.revision < revision) return
        newestIndex = update.stateIndex
        if (update.revision > revision) applyConfiguration(update)
        restrict(update)
        newest = update
        hub.publish(update)
    }

    /** Quarantines [fingerprints] on the word of this entry or another. */
    @Synchronized
    fun convict(fingerprints: Set<Fingerprint>) {
        if (convicted.containsAll(fingerprints)) return
        convicted = (convicted + fingerprints).toList().takeLast(MAX_CONVICTED).toSet()
        publishRestrictions()
    }

    private fun applyConfiguration(update: DistributionUpdate) {
        val bundle = update.bundle ?: return
        when (val read = DeclarationReader.readSite(bundle, site)) {
            is Outcome.Success -> {
                current = read.value
                revision = update.revision
                serving.put(ServingDutyEvent.Configured(read.value))
                revisionGauge.set(revision.number.toDouble())
                log.info("configuration_applied") { field("revision", revision) }
            }
            is Outcome.Failure -> log.warn("configuration_not_applied") {
                field("revision", update.revision)
                field("problem", read.error.first())
            }
        }
    }

    private fun restrict(update: DistributionUpdate) {
        val isQuarantineNewer = update.quarantineVersion > quarantineVersion
        if (!isQuarantineNewer && update.setAsideEngines.toSet() == setAside) return
        if (isQuarantineNewer) {
            quarantineVersion = update.quarantineVersion
            sharedQuarantine = update.quarantine.toSet()
        }
        setAside = update.setAsideEngines.toSet()
        publishRestrictions()
    }

    private fun publishRestrictions() {
        serving.put(ServingEvent.RestrictionsChanged(sharedQuarantine + convicted, setAside))
    }

    private companion object {
        const val MAX_CONVICTED = 1_000
        val log = EventLog.fromName("configuration")
        val revisionGauge: Gauge =
            Gauge.builder().name("marigoldward_configuration_revision").help("The configuration in force").register()
    }
}
