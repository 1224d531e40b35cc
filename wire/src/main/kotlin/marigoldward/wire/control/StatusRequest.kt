package marigoldward.wire.control

import kotlinx.serialization.Serializable

/** Requests the status of a control instance, with the configuration in force if [withBundle]. */
@Serializable
public data class StatusRequest(val withBundle: Boolean = false)
