package marigoldward.core.replication

import kotlinx.serialization.Serializable
import marigoldward.core.control.ControlState

/** The control [state] after all log entries up to [point] have been applied. */
@Serializable
public data class Snapshot(val point: SnapshotPoint, val state: ControlState)
