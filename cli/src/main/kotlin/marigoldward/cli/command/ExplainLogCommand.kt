package marigoldward.cli.command

import marigoldward.cli.ExitCode
import marigoldward.cli.log.LogLine
import marigoldward.cli.log.RequestTrace
import java.io.File
import java.io.IOException

/** `explain-log REQUEST-ID FILE …`: reconstructs from the logs of the entries what happened to a request. */
internal object ExplainLogCommand {
    fun run(id: String, files: List<File>): ExitCode {
        val lines = files.flatMap { file ->
            try {
                file.readLines().mapNotNull { LogLine.parseOrNull(file.nameWithoutExtension, it) }
            } catch (failure: IOException) {
                System.err.println("file=$file result=not_read reason=\"${failure.message}\"")
                return ExitCode.USAGE
            }
        }
        val trace = RequestTrace.fromLines(id, lines)
        if (!trace.isKnown) {
            System.err.println("result=not_found request=$id lines=${lines.size}")
            return ExitCode.REFUSED
        }
        trace.describe().forEach(::println)
        return ExitCode.DONE
    }
}
