package marigoldward.core.control

import kotlinx.serialization.Serializable
import marigoldward.core.model.CallerId

/** A caller's key for a request that must run at most once. Equal keys of different callers are independent. */
@Serializable
public data class IdempotencyKey(val caller: CallerId, val key: String)
