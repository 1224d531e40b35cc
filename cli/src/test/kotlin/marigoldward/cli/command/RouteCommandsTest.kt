package marigoldward.cli.command

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import marigoldward.cli.ExitCode
import marigoldward.core.Outcome
import marigoldward.core.model.PoolName
import marigoldward.core.routes.CallerLimits
import marigoldward.core.routes.RequestKind
import marigoldward.core.routes.Route
import marigoldward.core.routes.RouteConfiguration
import marigoldward.core.routes.RouteDocumentReader
import marigoldward.core.routes.RouteProblem
import marigoldward.core.routes.ServiceDeclaration
import marigoldward.core.routes.ServiceShare
import java.io.File

private val POOL = PoolName.parse("design")

private fun route(name: String, prefix: String): Route = Route(
    name = name,
    host = "h.example",
    pathPrefix = prefix,
    kind = RequestKind.STREAM,
    shares = listOf(ServiceShare(POOL, 3)),
    timeoutMillis = 5_000,
    targetLatencyMillis = 400,
    targetGapMillis = 150,
    priority = 1,
    maxAttempts = 2,
    isResumable = true,
    hasPrompts = true,
)

private fun configuration(vararg routes: Route): Outcome<RouteConfiguration, RouteProblem> =
    RouteConfiguration.check(7, routes.toList(), listOf(ServiceDeclaration(POOL, 10, null)), CallerLimits.DEFAULT)

private fun temporaryFile(text: String): File = File.createTempFile("routes", ".json").apply {
    deleteOnExit()
    writeText(text)
}

class RouteCommandsTest :
    DescribeSpec({
        describe("a route configuration") {
            it("is summarised with the longest path prefix first") {
                val valid = configuration(route("short", "/a/"), route("long", "/a/b/"))
                RouteCommands.summary((valid as Outcome.Success).value) shouldContainExactly listOf(
                    "result=valid version=7 routes=2 services=1",
                    "route=long host=h.example prefix=/a/b/ kind=stream services=design:3 timeout_ms=5000 " +
                        "target_ms=400 gap_ms=150 priority=1 attempts=2 repeats_after_run=true",
                    "route=short host=h.example prefix=/a/ kind=stream services=design:3 timeout_ms=5000 " +
                        "target_ms=400 gap_ms=150 priority=1 attempts=2 repeats_after_run=true",
                )
            }
            it("exits with a usage error if its file is missing or invalid") {
                val reader = RouteDocumentReader { content ->
                    if (content.isEmpty()) {
                        Outcome.Failure(RouteProblem.Unreadable("it is empty"))
                    } else {
                        configuration(route("only", "/"))
                    }
                }
                RouteCommands(reader).validate(temporaryFile("x")) shouldBe ExitCode.DONE
                RouteCommands(reader).validate(temporaryFile("")) shouldBe ExitCode.USAGE
                RouteCommands(reader).validate(File("missing")) shouldBe ExitCode.USAGE
            }
        }
    })
