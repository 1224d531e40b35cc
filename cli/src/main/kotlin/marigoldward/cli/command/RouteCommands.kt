package marigoldward.cli.command

import marigoldward.cli.ExitCode
import marigoldward.core.Outcome
import marigoldward.core.routes.Route
import marigoldward.core.routes.RouteConfiguration
import marigoldward.core.routes.RouteDocumentReader
import java.io.File
import java.io.IOException

/** The subcommands for route configurations, which are read with [reader]. */
internal class RouteCommands(private val reader: RouteDocumentReader) {
    /** Checks [file] with the rules of the control service and prints the resulting routes, or the first problem. */
    fun validate(file: File): ExitCode {
        val content = try {
            file.readBytes()
        } catch (failure: IOException) {
            return printProblem("$file cannot be read: ${failure.message}")
        }
        return when (val read = reader.read(content)) {
            is Outcome.Failure -> printProblem("$file: ${read.error.message}")
            is Outcome.Success -> {
                summary(read.value).forEach(::println)
                ExitCode.DONE
            }
        }
    }

    private fun printProblem(message: String): ExitCode {
        System.err.println(message)
        return ExitCode.USAGE
    }

    internal companion object {
        /** Returns a line for [configuration], then one for each route by host, the longest path prefix first. */
        fun summary(configuration: RouteConfiguration): List<String> {
            val header = "result=valid version=${configuration.version} routes=${configuration.routes.size} " +
                "services=${configuration.services.size}"
            val sortedRoutes = configuration.routes.sortedWith(compareBy({ it.host }, { -it.pathPrefix.length }))
            return listOf(header) + sortedRoutes.map(::formatRoute)
        }

        private fun formatRoute(route: Route): String {
            val shares = route.shares.joinToString(",") { "${it.service}:${it.weight}" }
            return "route=${route.name} host=${route.host} prefix=${route.pathPrefix} " +
                "kind=${route.kind.name.lowercase()} services=$shares timeout_ms=${route.timeoutMillis} " +
                "target_ms=${route.targetLatencyMillis} gap_ms=${route.targetGapMillis} priority=${route.priority} " +
                "attempts=${route.maxAttempts} repeats_after_run=${route.isRepeatable}"
        }
    }
}
