package marigoldward.cli.command

import marigoldward.cli.ExitCode
import marigoldward.core.Outcome
import marigoldward.core.routes.Route
import marigoldward.core.routes.RouteConfiguration
import marigoldward.core.routes.RouteDocumentReader
import java.io.File
import java.io.IOException

/** The commands about configurations of routes, which [reader] reads. */
internal class RouteCommands(private val reader: RouteDocumentReader) {
    /** Checks [file] as control would and prints what it would put in force, or the first thing that is wrong. */
    fun validate(file: File): ExitCode {
        val content = try {
            file.readBytes()
        } catch (failure: IOException) {
            return problem("$file cannot be read: ${failure.message}")
        }
        return when (val read = reader.read(content)) {
            is Outcome.Failure -> problem("$file: ${read.error.message}")
            is Outcome.Success -> {
                summary(read.value).forEach(::println)
                ExitCode.DONE
            }
        }
    }

    private fun problem(message: String): ExitCode {
        System.err.println(message)
        return ExitCode.USAGE
    }

    internal companion object {
        /** Returns a line for the whole of [configuration] and one for each route, the longest prefix of a host first. */
        fun summary(configuration: RouteConfiguration): List<String> {
            val head = "result=valid version=${configuration.version} routes=${configuration.routes.size} " +
                "services=${configuration.services.size}"
            val inOrder = configuration.routes.sortedWith(compareBy({ it.host }, { -it.pathPrefix.length }))
            return listOf(head) + inOrder.map(::line)
        }

        private fun line(route: Route): String {
            val shares = route.shares.joinToString(",") { "${it.service}:${it.weight}" }
            return "route=${route.name} host=${route.host} prefix=${route.pathPrefix} " +
                "kind=${route.kind.name.lowercase()} services=$shares timeout_ms=${route.timeoutMillis} " +
                "target_ms=${route.targetLatencyMillis} gap_ms=${route.targetGapMillis} priority=${route.priority} " +
                "attempts=${route.maxAttempts} repeats_after_run=${route.isRepeatable}"
        }
    }
}
