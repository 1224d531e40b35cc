package marigoldward.cli.command

import marigoldward.cli.DeclarationFolder
import marigoldward.cli.ExitCode
import marigoldward.core.Outcome
import marigoldward.core.config.ConfigurationBundle
import marigoldward.core.config.SourceFile
import marigoldward.core.control.ControlCommand
import marigoldward.core.control.OperationId
import marigoldward.core.getOrNull
import marigoldward.core.model.Revision
import marigoldward.support.declarations.DeclarationReader
import marigoldward.support.settings.SettingsProblem
import marigoldward.wire.control.ControlClient
import marigoldward.wire.control.StatusReply
import java.io.File

/** The subcommands that validate, compare and apply declarations. */
internal object ConfigurationCommands {
    fun validate(folder: File): ExitCode = when (val bundle = readAndValidate(folder)) {
        is Outcome.Failure -> printProblems(bundle.error)
        is Outcome.Success -> {
            println("result=valid overlays=${bundle.value.overlays.size}")
            ExitCode.DONE
        }
    }

    fun diff(control: ControlClient, folder: File): ExitCode {
        val bundle = when (val read = readAndValidate(folder)) {
            is Outcome.Failure -> return printProblems(read.error)
            is Outcome.Success -> read.value
        }
        val newest = newestStatusOrNull(control) ?: return printUnreachable()
        println("revision=${newest.revision}")
        val before = newest.bundle?.let(::filesByName).orEmpty()
        printDiff(before, filesByName(bundle))
        return ExitCode.DONE
    }

    fun apply(control: ControlClient, folder: File, expectedRevision: Revision, operation: OperationId): ExitCode =
        when (val bundle = readAndValidate(folder)) {
            is Outcome.Failure -> printProblems(bundle.error)
            is Outcome.Success -> {
                val command = ControlCommand.ApplyConfiguration(operation, expectedRevision, bundle.value)
                printReply(control.submit(command))
            }
        }

    private fun readAndValidate(folder: File): Outcome<ConfigurationBundle, List<SettingsProblem>> {
        val bundle = when (val read = DeclarationFolder.read(folder)) {
            is Outcome.Failure -> return read
            is Outcome.Success -> read.value
        }
        return when (val group = DeclarationReader.read(bundle)) {
            is Outcome.Failure -> group
            is Outcome.Success -> Outcome.Success(bundle)
        }
    }

    private fun newestStatusOrNull(control: ControlClient): StatusReply? =
        control.statuses(withBundle = true).mapNotNull { it.reply.getOrNull() }.maxByOrNull { it.revision }

    private fun filesByName(bundle: ConfigurationBundle): Map<String, SourceFile> =
        (listOf(bundle.base) + bundle.overlays).associateBy { it.name }

    private fun printDiff(before: Map<String, SourceFile>, after: Map<String, SourceFile>) {
        (before.keys + after.keys).sorted().forEach { name ->
            val old = before[name]?.text.orEmpty().lines()
            val new = after[name]?.text.orEmpty().lines()
            LineDiff.between(old, new).forEach { println("$name: $it") }
        }
    }

    private fun printProblems(problems: List<SettingsProblem>): ExitCode {
        problems.forEach { System.err.println(it) }
        return ExitCode.USAGE
    }

    private fun printUnreachable(): ExitCode {
        System.err.println("result=unreachable")
        return ExitCode.UNREACHABLE
    }
}
