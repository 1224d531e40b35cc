package marigoldward.standin.platform

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The emulated platform's list of instances, the answer to `GET /v1/instances`. Changes show in it with a delay. */
@Serializable
public data class PlatformList(val instances: List<ListedInstance>) {
    /**
     * One instance of an engine or a service.
     *
     * @property state `live` or `leaving`
     */
    @Serializable
    public data class ListedInstance(
        val id: String,
        val pool: String,
        @SerialName("data_centre") val dataCentre: String,
        val address: String,
        val state: String,
    )
}
