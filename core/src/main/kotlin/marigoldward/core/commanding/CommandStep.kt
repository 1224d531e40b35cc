package marigoldward.core.commanding

import marigoldward.core.control.CommandId
import marigoldward.core.control.CommandIntent
import marigoldward.core.control.CommandOutcome
import marigoldward.core.control.EngineCommand

/** The next step in carrying out an engine's desired command. */
public sealed interface CommandStep {
    /** No command is outstanding. */
    public data object Idle : CommandStep

    /** The engine can't proceed yet; [reason] says why. */
    public data class Wait(val reason: String) : CommandStep

    /** Record the intent to carry out the desired command of the engine record's [version] as [commandId]. */
    public data class RecordIntent(val commandId: CommandId, val version: Long) : CommandStep

    /**
     * Send [command] to the engine.
     *
     * @property intent the recorded intent that the command belongs to; it holds the fencing token of the sender
     * @property command the command of the intent, or a preceding [EngineCommand.Drain]
     */
    public data class Send(val intent: CommandIntent, val command: EngineCommand) : CommandStep

    /**
     * Record the outcome of the command that is open.
     *
     * @property isSetAside whether the engine must not get requests, because its state is unknown
     */
    public data class RecordOutcome(val outcome: CommandOutcome, val isSetAside: Boolean) : CommandStep
}
