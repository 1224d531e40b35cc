package marigoldward.wire.distribution

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import marigoldward.core.config.ConfigurationBundle
import marigoldward.core.control.Fingerprint
import marigoldward.core.model.Revision
import marigoldward.core.model.UpstreamId

/**
 * The part of the replicated state that entries need.
 *
 * @property quarantineVersion the version of [quarantine]; a higher version replaces a lower one
 * @property setAsideEngines the engines that get no requests because their state is unknown
 * @property stateIndex the log index that this update reflects
 */
@Serializable
public data class DistributionUpdate(
    val revision: Revision,
    val bundle: ConfigurationBundle?,
    val quarantineVersion: Long,
    val quarantine: List<Fingerprint>,
    @SerialName("setAside") val setAsideEngines: List<UpstreamId>,
    val stateIndex: Long,
)
