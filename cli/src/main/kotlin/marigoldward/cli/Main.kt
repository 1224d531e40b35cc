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

/** Runs one command of the operators' program. */
@OptIn(ExperimentalCli::class)
public fun main(arguments: Array<String>) {
    if (arguments.singleOrNull() == "--version") Program.printVersion(PROGRAM)
    val parser = ArgParser(PROGRAM)
    parser.subcommands(
        Validate(),
        Diff(),
        Apply(),
        Status(),
        SetCommand("drain", "let an engine finish and get no new work") { _ -> EngineCommand.Drain },
        SetCommand("resume", "let a drained engine take work again") { _ -> EngineCommand.Resume },
        SetRole(),
        LoadModel(),
        ReplaceReplica(),
        ReleaseQuarantine(),
        Explain(),
        ExplainLog(),
    )
    parser.parse(if (arguments.isEmpty()) arrayOf("--help") else arguments)
}

private fun finish(code: ExitCode): Nothing = exitProcess(code.number)

private fun usage(message: String): Nothing {
    System.err.println(message)
    finish(ExitCode.USAGE)
}

@OptIn(ExperimentalCli::class)
private abstract class ConnectedCommand(name: String, help: String) : Subcommand(name, help) {
    private val settingsFile by
        option(ArgType.String, fullName = "settings", description = "INI settings of the operators' program").required()

    protected val settings: OperatorSettings by lazy {
        Program.loadSettings(File(settingsFile), OperatorSettings::read)
    }

    protected abstract fun run(control: ControlClient): ExitCode

    override fun execute() {
        val identity = ClusterIdentity(settings.clusterId, settings.key)
        val code = ControlClient.to(settings.control, identity).use(::run)
        finish(code)
    }

    protected fun operation(text: String?): OperationId {
        val chosen = text ?: UUID.randomUUID().toString()
        return OperationId.parseOrNull(chosen)
            ?: usage("operation id \"$chosen\" is not 1 to 128 printable characters without spaces")
    }

    protected fun engine(text: String): UpstreamId =
        UpstreamId.parseOrNull(text) ?: usage("\"$text\" is not the name of an engine")
}

@OptIn(ExperimentalCli::class)
private class Validate : Subcommand("validate", "check declarations, or a configuration of routes") {
    private val path by
        argument(ArgType.String, description = "folder with base.ini and overlays/, or a file of routes")

    override fun execute() {
        val place = File(path)
        val isFolder = place.isDirectory || !place.exists()
        finish(
            if (isFolder) ConfigurationCommands.validate(place) else RouteCommands(RouteDocumentJson).validate(place),
        )
    }
}

private class Diff : ConnectedCommand("diff", "compare a folder of declarations with what is in force") {
    private val folder by argument(ArgType.String, description = "folder with base.ini and overlays/")

    override fun run(control: ControlClient): ExitCode = ConfigurationCommands.diff(control, File(folder))
}

private class Apply : ConnectedCommand("apply", "put a folder of declarations in force") {
    private val folder by argument(ArgType.String, description = "folder with base.ini and overlays/")
    private val expectRevision by
        option(ArgType.String, fullName = "expect-revision", description = "the revision that it replaces").required()
    private val operationId by
        option(ArgType.String, fullName = "operation-id", description = "the same again for a call that is repeated")

    override fun run(control: ControlClient): ExitCode {
        val number = expectRevision.toLongOrNull()?.takeIf { it >= 0 }
            ?: usage("revision \"$expectRevision\" is not a whole number from 0 on")
        return ConfigurationCommands.apply(control, File(folder), Revision.fromNumber(number), operation(operationId))
    }
}

private class Status : ConnectedCommand("status", "show who leads, leases, revisions and open commands") {
    override fun run(control: ControlClient): ExitCode = StatusCommand.run(control)
}

private class SetCommand(name: String, help: String, private val toCommand: (String) -> EngineCommand) :
    ConnectedCommand(name, help) {
    private val engineName by argument(ArgType.String, fullName = "engine", description = "the engine")
    private val expectVersion by
        option(
            ArgType.Int,
            fullName = "expect-version",
            description = "the version of the engine's record that it replaces",
        )
    private val operationId by
        option(ArgType.String, fullName = "operation-id", description = "the same again for a call that is repeated")

    override fun run(control: ControlClient): ExitCode {
        val command = toCommand(engineName)
        return EngineCommands.set(control, engine(engineName), command, expectVersion?.toLong(), operation(operationId))
    }
}

private class SetRole : ConnectedCommand("set-role", "change the role of an engine") {
    private val engineName by argument(ArgType.String, fullName = "engine", description = "the engine")
    private val role by argument(ArgType.String, description = "prefill, decode or mixed")
    private val expectVersion by
        option(
            ArgType.Int,
            fullName = "expect-version",
            description = "the version of the engine's record that it replaces",
        )
    private val operationId by
        option(ArgType.String, fullName = "operation-id", description = "the same again for a call that is repeated")

    override fun run(control: ControlClient): ExitCode {
        val parsed = EngineRole.parseOrNull(role)
            ?: usage("role \"$role\" is not known; use ${EngineRole.entries.joinToString(", ") { it.label }}")
        val command = EngineCommand.ChangeRole(parsed)
        return EngineCommands.set(control, engine(engineName), command, expectVersion?.toLong(), operation(operationId))
    }
}

private class LoadModel : ConnectedCommand("load-model", "load a model version into an engine") {
    private val engineName by argument(ArgType.String, fullName = "engine", description = "the engine")
    private val model by argument(ArgType.String, description = "the model")
    private val version by argument(ArgType.String, description = "its version")
    private val operationId by
        option(ArgType.String, fullName = "operation-id", description = "the same again for a call that is repeated")

    override fun run(control: ControlClient): ExitCode {
        val command = EngineCommand.LoadModel(model, version)
        return EngineCommands.set(control, engine(engineName), command, null, operation(operationId))
    }
}

private class ReplaceReplica : ConnectedCommand("replace-replica", "take in a control instance whose disk was lost") {
    private val instance by argument(ArgType.String, description = "the control instance")

    override fun run(control: ControlClient): ExitCode {
        val id = InstanceId.parseOrNull(instance) ?: usage("\"$instance\" is not the name of an instance")
        return printReply(control.replaceReplica(id))
    }
}

private class ReleaseQuarantine : ConnectedCommand("release", "let a quarantined request run again") {
    private val fingerprint by argument(ArgType.String, description = "its fingerprint, as status shows it")

    override fun run(control: ControlClient): ExitCode {
        val parsed = runCatching { Fingerprint.parse(fingerprint) }.getOrNull()
            ?: usage("fingerprint \"$fingerprint\" is not hexadecimal")
        return printReply(control.submit(ControlCommand.ReleaseQuarantine(parsed)))
    }
}

private class Explain : ConnectedCommand("explain", "show the decisions about a request") {
    private val request by argument(ArgType.String, description = "the request id of the answer")

    override fun run(control: ControlClient): ExitCode {
        val id = RequestId.parseOrNull(request) ?: usage("\"$request\" is not a request id")
        return ExplainCommand.run(settings, id)
    }
}

@OptIn(ExperimentalCli::class)
private class ExplainLog : Subcommand("explain-log", "find in the logs of entries what became of a request") {
    private val request by argument(ArgType.String, description = "the request id, as its caller gave it")
    private val files by argument(ArgType.String, description = "the logs of the entries").vararg()

    override fun execute() = finish(ExplainLogCommand.run(request, files.map(::File)))
}
