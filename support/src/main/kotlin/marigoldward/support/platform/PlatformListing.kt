package marigoldward.support.platform

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import marigoldward.core.model.DataCentre
import marigoldward.core.model.PoolName
import marigoldward.core.model.UpstreamId
import marigoldward.core.serving.UpstreamInfo
import marigoldward.support.log.EventLog
import marigoldward.support.settings.parseAddressOrNull
import marigoldward.support.settings.toText

/** Parses the platform's list of instances, which `GET /v1/instances` returns. */
public object PlatformListing {
    private const val LIVE = "live"
    private val json = Json { ignoreUnknownKeys = true }
    private val log = EventLog.fromName("platform")

    @Serializable
    private data class ListMessage(val instances: List<InstanceMessage>)

    @Serializable
    private data class InstanceMessage(
        val id: String,
        val pool: String,
        @SerialName("data_centre") val dataCentre: String,
        val address: String,
        val state: String,
    )

    /**
     * Returns the upstreams of the list in [text]. An invalid entry is logged and left out.
     *
     * @throws SerializationException if [text] is not such a list
     */
    public fun parse(text: String): List<UpstreamInfo> =
        json.decodeFromString(ListMessage.serializer(), text).instances.mapNotNull(::toInfoOrNull)

    private fun toInfoOrNull(message: InstanceMessage): UpstreamInfo? {
        val id = UpstreamId.parseOrNull(message.id)
        val pool = PoolName.parseOrNull(message.pool)
        val dataCentre = DataCentre.parseOrNull(message.dataCentre)
        val address = parseAddressOrNull(message.address)
        if (id == null || pool == null || dataCentre == null || address == null) {
            log.warn("instance_not_valid") { field("instance", message) }
            return null
        }
        return UpstreamInfo(id, pool, dataCentre, address.toText(), isLeaving = message.state != LIVE)
    }
}
