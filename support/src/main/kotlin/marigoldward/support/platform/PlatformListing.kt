package marigoldward.support.platform

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import marigoldward.core.Outcome
import marigoldward.core.flatMap
import marigoldward.core.model.DataCentre
import marigoldward.core.model.PoolName
import marigoldward.core.model.UpstreamId
import marigoldward.core.serving.UpstreamInfo
import marigoldward.support.json.JsonBounds
import marigoldward.support.json.JsonListReader
import marigoldward.support.json.JsonProblem
import marigoldward.support.log.EventLog
import marigoldward.support.settings.parseAddressOrNull
import marigoldward.support.settings.toText

/** Parses the platform's list of instances, which `GET /v1/instances` returns. */
public object PlatformListing {
    private const val LIVE = "live"
    private val reader = JsonListReader("instances", otherField = null, JsonBounds.MESSAGE, JsonBounds.MESSAGE)
    private val json = Json { ignoreUnknownKeys = true }
    private val log = EventLog.fromName("platform")

    @Serializable
    private data class InstanceMessage(
        val id: String,
        val pool: String,
        @SerialName("data_centre") val dataCentre: String,
        val address: String,
        val state: String,
    )

    /**
     * Returns the upstreams of the list in [text], or why it can't be read. An invalid entry is left out; a list of which no
     * entry is valid can't be read.
     */
    public fun parse(text: String): Outcome<List<UpstreamInfo>, JsonProblem> =
        reader.read(text.toByteArray(), ::infoOrNull).flatMap { page ->
            if (page.entries.isEmpty() && page.unreadableEntries > 0) {
                Outcome.Failure(JsonProblem.Malformed("none of ${page.unreadableEntries} entries is valid"))
            } else {
                Outcome.Success(page.entries)
            }
        }

    private fun infoOrNull(entry: JsonElement): UpstreamInfo? = try {
        toInfoOrNull(json.decodeFromJsonElement(InstanceMessage.serializer(), entry))
    } catch (failure: IllegalArgumentException) {
        log.warn("instance_not_valid") { field("reason", failure) }
        null
    }

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
