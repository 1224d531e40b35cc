package marigoldward.wire.entry

import kotlinx.serialization.Serializable

/** Requests the demand of the callers of an entry. The server ignores [all]. */
@Serializable
public data class DemandRequest(val all: Boolean = true)
