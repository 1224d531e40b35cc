package marigoldward.core.control

/** The [state] after a command was applied, and the [outcome] that is returned to its sender. */
public data class AppliedCommand(val state: ControlState, val outcome: ControlOutcome)
