package marigoldward.wire.entry

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import marigoldward.core.control.Fingerprint
import marigoldward.core.model.DataCentre
import marigoldward.core.model.InstanceId
import marigoldward.core.model.Revision
import marigoldward.wire.distribution.DistributionUpdate

/**
 * The state that two entries exchange.
 *
 * @property revision the configuration in force at the sender
 * @property quarantinedByEntries the fingerprints that entries quarantined, which the replicated state may not have yet
 * @property update the newest update, or null unless the receiver has a lower revision
 */
@Serializable
public data class PeerExchange(
    val from: InstanceId,
    val dataCentre: DataCentre,
    val revision: Revision,
    @SerialName("convicted") val quarantinedByEntries: List<Fingerprint>,
    val update: DistributionUpdate? = null,
)
