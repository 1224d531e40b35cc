package marigoldward.cli

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.required
import kotlinx.cli.vararg
import marigoldward.cli.command.ConfigurationCommands
import marigoldward.cli.command.EngineCommands
import marigoldward.cli.command.ExplainCommand
import marigoldward.cli.command.ExplainLogCommand
import marigoldward.cli.command.RouteCommands
import marigoldward.cli.command.StatusCommand
import marigoldward.cli.command.printReply
import marigoldward.core.control.ControlCommand
import marigoldward.core.control.EngineCommand
import marigoldward.core.control.Fingerprint
import marigoldward.core.control.OperationId
import marigoldward.core.model.EngineRole
import marigoldward.core.model.InstanceId
import marigoldward.core.model.RequestId
import marigoldward.core.model.Revision
import marigoldward.core.model.UpstreamId
import marigoldward.platform.RouteDocumentJson
import marigoldward.support.program.Program
import marigoldward.wire.control.ControlClient
import marigoldward.wire.rpc.ClusterIdentity
import java.io.File
import java.util.UUID
import kotlin.system.exitProcess

private const val PROGRAM = "marigoldward"

/** Runs one subcommand of the operators' command line and exits with its [ExitCode]. */
@OptIn(ExperimentalCli::class)
public fun main(arguments: Array<String>) {
    if (arguments.singleOrNull() == "--version") Program.printVersion(PROGRAM)
    val parser = ArgParser(PROGRAM)
    parser.subcommands(
        Validate(),
        Diff(),
        Apply(),
        Status(),
        SetEngineCommand("drain", "send no new work to an engine and let its running requests finish") { _ ->
            EngineCommand.Drain
        },
        SetEngineCommand("resume", "send new work to a drained engine again") { _ -> EngineCommand.Resume },
        SetRole(),
        LoadModel(),
        ReplaceReplica(),
        ReleaseQuarantine(),
        Explain(),
        ExplainLog(),
    )
    parser.parse(if (arguments.isEmpty()) arrayOf("--help") else arguments)
}

private fun exit(code: ExitCode): Nothing = exitProcess(code.number)

private fun exitWithUsageError(message: String): Nothing {
    System.err.println(message)
    exit(ExitCode.USAGE)
}

/** A subcommand that calls the control instances named in the settings file. */
@OptIn(ExperimentalCli::class)
private abstract class ControlSubcommand(name: String, help: String) : Subcommand(name, help) {
    private val settingsFile by
        option(ArgType.String, fullName = "settings", description = "INI file of operator settings").required()

    protected val settings: OperatorSettings by lazy {
        Program.loadSettings(File(settingsFile), OperatorSettings::read)
    }

    protected abstract fun run(control: ControlClient): ExitCode

    override fun execute() {
        val identity = ClusterIdentity(settings.clusterId, settings.key)
        val code = ControlClient.to(settings.controlAddresses, identity).use(::run)
        exit(code)
    }

    /** Parses [text], or generates a random id if it is null. */
    protected fun parseOperationId(text: String?): OperationId {
        val id = text ?: UUID.randomUUID().toString()
        return OperationId.parseOrNull(id)
            ?: exitWithUsageError("operation id \"$id\" is not 1 to 128 printable characters without spaces")
    }

    protected fun parseEngine(text: String): UpstreamId =
        UpstreamId.parseOrNull(text) ?: exitWithUsageError("\"$text\" is not a valid engine name")
}

@OptIn(ExperimentalCli::class)
private class Validate : Subcommand("validate", "check a folder of declarations or a file of routes") {
    private val path by
        argument(ArgType.String, description = "folder with base.ini and overlays/, or a file of routes")

    override fun execute() {
        val file = File(path)
        val isFolder = file.isDirectory || !file.exists()
        exit(
            if (isFolder) ConfigurationCommands.validate(file) else RouteCommands(RouteDocumentJson).validate(file),
        )
    }
}

private class Diff : ControlSubcommand("diff", "compare a folder of declarations with the applied configuration") {
    private val folder by argument(ArgType.String, description = "folder with base.ini and overlays/")

    override fun run(control: ControlClient): ExitCode = ConfigurationCommands.diff(control, File(folder))
}

private class Apply : ControlSubcommand("apply", "apply a folder of declarations") {
    private val folder by argument(ArgType.String, description = "folder with base.ini and overlays/")
    private val expectRevision by
        option(
            ArgType.String,
            fullName = "expect-revision",
            description = "revision that the declarations replace; refused if it is no longer current",
        ).required()
    private val operationId by
        option(
            ArgType.String,
            fullName = "operation-id",
            description = "id of the call; retry a call with the same id",
        )

    override fun run(control: ControlClient): ExitCode {
        val number = expectRevision.toLongOrNull()?.takeIf { it >= 0 }
            ?: exitWithUsageError("revision \"$expectRevision\" is not a non-negative whole number")
        return ConfigurationCommands.apply(
            control,
            File(folder),
            Revision.fromNumber(number),
            parseOperationId(operationId),
        )
    }
}

private class Status : ControlSubcommand("status", "show the leader, leases, revisions and open engine commands") {
    override fun run(control: ControlClient): ExitCode = StatusCommand.run(control)
}

private class SetEngineCommand(name: String, help: String, private val toCommand: (String) -> EngineCommand) :
    ControlSubcommand(name, help) {
    private val engineName by argument(ArgType.String, fullName = "engine", description = "name of the engine")
    private val expectVersion by
        option(
            ArgType.Int,
            fullName = "expect-version",
            description = "version of the engine's record that the call replaces; by default the newest",
        )
    private val operationId by
        option(
            ArgType.String,
            fullName = "operation-id",
            description = "id of the call; retry a call with the same id",
        )

    override fun run(control: ControlClient): ExitCode {
        val command = toCommand(engineName)
        return EngineCommands.setDesired(
            control,
            parseEngine(engineName),
            command,
            expectVersion?.toLong(),
            parseOperationId(operationId),
        )
    }
}

private class SetRole : ControlSubcommand("set-role", "change the role of an engine") {
    private val engineName by argument(ArgType.String, fullName = "engine", description = "name of the engine")
    private val role by argument(ArgType.String, description = "prefill, decode or mixed")
    private val expectVersion by
        option(
            ArgType.Int,
            fullName = "expect-version",
            description = "version of the engine's record that the call replaces; by default the newest",
        )
    private val operationId by
        option(
            ArgType.String,
            fullName = "operation-id",
            description = "id of the call; retry a call with the same id",
        )

    override fun run(control: ControlClient): ExitCode {
        val parsed = EngineRole.parseOrNull(role)
            ?: exitWithUsageError(
                "role \"$role\" is not known; use " + EngineRole.entries.joinToString(", ") { it.label },
            )
        val command = EngineCommand.ChangeRole(parsed)
        return EngineCommands.setDesired(
            control,
            parseEngine(engineName),
            command,
            expectVersion?.toLong(),
            parseOperationId(operationId),
        )
    }
}

private class LoadModel : ControlSubcommand("load-model", "load a version of a model into an engine") {
    private val engineName by argument(ArgType.String, fullName = "engine", description = "name of the engine")
    private val model by argument(ArgType.String, description = "name of the model")
    private val version by argument(ArgType.String, description = "version of the model")
    private val operationId by
        option(
            ArgType.String,
            fullName = "operation-id",
            description = "id of the call; retry a call with the same id",
        )

    override fun run(control: ControlClient): ExitCode {
        val command = EngineCommand.LoadModel(model, version)
        return EngineCommands.setDesired(control, parseEngine(engineName), command, null, parseOperationId(operationId))
    }
}

private class ReplaceReplica :
    ControlSubcommand("replace-replica", "replace the replica of a control instance that lost its disk") {
    private val instance by argument(ArgType.String, description = "name of the control instance")

    override fun run(control: ControlClient): ExitCode {
        val id = InstanceId.parseOrNull(instance) ?: exitWithUsageError("\"$instance\" is not a valid instance name")
        return printReply(control.replaceReplica(id))
    }
}

private class ReleaseQuarantine :
    ControlSubcommand("release", "release a request from quarantine, so that it may run again") {
    private val fingerprint by argument(
        ArgType.String,
        description = "fingerprint of the request, as printed by status",
    )

    override fun run(control: ControlClient): ExitCode {
        val parsed = runCatching { Fingerprint.parse(fingerprint) }.getOrNull()
            ?: exitWithUsageError("fingerprint \"$fingerprint\" is not hexadecimal")
        return printReply(control.submit(ControlCommand.ReleaseQuarantine(parsed)))
    }
}

private class Explain : ControlSubcommand("explain", "show the decisions that the entries made about a request") {
    private val request by argument(ArgType.String, description = "request id, as returned with the answer")

    override fun run(control: ControlClient): ExitCode {
        val id = RequestId.parseOrNull(request) ?: exitWithUsageError("\"$request\" is not a request id")
        return ExplainCommand.run(settings, id)
    }
}

@OptIn(ExperimentalCli::class)
private class ExplainLog :
    Subcommand("explain-log", "reconstruct from the logs of the entries what happened to a request") {
    private val request by argument(ArgType.String, description = "request id, as sent by the caller")
    private val files by argument(ArgType.String, description = "log files of the entries").vararg()

    override fun execute() = exit(ExplainLogCommand.run(request, files.map(::File)))
}
