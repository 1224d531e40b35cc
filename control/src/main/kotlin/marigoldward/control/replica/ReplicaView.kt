package marigoldward.control.replica

import marigoldward.core.control.ControlState
import marigoldward.core.replication.ReplicaState

/** The replica, and the control state as of the log entry [appliedIndex], against which requests are evaluated. */
internal data class ReplicaView(
    val replica: ReplicaState,
    val controlState: ControlState,
    val appliedIndex: Long,
    val isDiskWritable: Boolean,
)
