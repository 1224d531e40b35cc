package marigoldward.wire.control

import kotlinx.serialization.Serializable
import marigoldward.core.control.LeaseScope
import marigoldward.core.model.FencingToken
import marigoldward.core.model.InstanceId

/** Requests a lease, or the renewal of the lease granted with [token] if that is not null. */
@Serializable
public data class LeaseRequest(val scope: LeaseScope, val holder: InstanceId, val token: FencingToken?)
