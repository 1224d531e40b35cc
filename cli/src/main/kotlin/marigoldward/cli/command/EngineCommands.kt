package marigoldward.cli.command

import marigoldward.cli.ExitCode
import marigoldward.core.control.ControlCommand
import marigoldward.core.control.EngineCommand
import marigoldward.core.control.OperationId
import marigoldward.core.getOrNull
import marigoldward.core.model.UpstreamId
import marigoldward.wire.control.ControlClient

/** The subcommands that set the desired command of an engine. */
internal object EngineCommands {
    /**
     * Sets [command] as the desired command of [engine] and prints the reply.
     *
     * The call is refused unless the engine's record is at [expectedVersion]; null stands for the newest version that
     * the control instances report.
     */
    fun setDesired(
        control: ControlClient,
        engine: UpstreamId,
        command: EngineCommand,
        expectedVersion: Long?,
        operation: OperationId,
    ): ExitCode {
        val version = expectedVersion ?: newestReportedVersion(control, engine)
        return printReply(control.submit(ControlCommand.SetDesired(operation, engine, version, command)))
    }

    private fun newestReportedVersion(control: ControlClient, engine: UpstreamId): Long = control
        .statuses(withBundle = false)
        .mapNotNull { it.reply.getOrNull() }
        .flatMap { it.engines }
        .filter { it.engine == engine.text }
        .maxOfOrNull { it.version } ?: 0
}
