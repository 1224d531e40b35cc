package marigoldward.core.routes

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import marigoldward.core.errorOrNull
import marigoldward.core.getOrNull
import marigoldward.core.model.PoolName

private val SERVICE = PoolName.parse("service")
private val DECLARED = ServiceDeclaration(SERVICE, 10, null)

private fun route(name: String = "route", prefix: String = "/a/"): Route = Route(
    name = name,
    host = "host.example",
    pathPrefix = prefix,
    kind = RequestKind.IDEMPOTENT,
    shares = listOf(ServiceShare(SERVICE, 1)),
    timeoutMillis = 1_000,
    targetLatencyMillis = 100,
    targetGapMillis = 0,
    priority = 0,
    maxAttempts = 2,
    isResumable = false,
    hasPrompts = false,
)

private fun problem(vararg routes: Route): RouteProblem? =
    RouteConfiguration.check(1, routes.toList(), listOf(DECLARED), CallerLimits.DEFAULT).errorOrNull()

class RouteConfigurationTest :
    DescribeSpec({
        describe("a configuration of routes") {
            val configuration =
                RouteConfiguration
                    .check(
                        1,
                        listOf(route("short"), route("long", "/a/b/")),
                        listOf(DECLARED),
                        CallerLimits.DEFAULT,
                    ).getOrNull()
                    .shouldNotBeNull()

            it("finds the route with the longest prefix") {
                configuration.routeOrNull("host.example", "/a/b/c")?.name shouldBe "long"
                configuration.routeOrNull("host.example", "/a/c")?.name shouldBe "short"
            }
            it("ignores case in hosts but not in paths") {
                configuration.routeOrNull("HOST.example", "/a/c")?.name shouldBe "short"
                configuration.routeOrNull("host.example", "/A/c").shouldBeNull()
            }
            it("has no route for another host or for a prefix without its trailing slash") {
                configuration.routeOrNull("other.example", "/a/c").shouldBeNull()
                configuration.routeOrNull("host.example", "/a").shouldBeNull()
            }
        }
        describe("a configuration is invalid") {
            it("if a service is not declared") {
                val other = route().copy(shares = listOf(ServiceShare(PoolName.parse("other"), 1)))
                problem(other) shouldBe RouteProblem.UnknownService("route", "other")
            }
            it("if two routes have the same host and path prefix") {
                problem(route("one"), route("two")) shouldBe RouteProblem.SamePlace("one", "two")
            }
            it("if all weights of a route are 0") {
                problem(route().copy(shares = listOf(ServiceShare(SERVICE, 0)))) shouldBe RouteProblem.NoWeight("route")
            }
            it("if a timeout is 0") {
                problem(route().copy(timeoutMillis = 0)) shouldBe RouteProblem.NoTimeout("route")
            }
            it("if a path prefix does not end with a slash") {
                problem(route(prefix = "/a")).shouldNotBeNull()
            }
        }
        describe("the choice of a service") {
            val weighted = route().copy(
                shares = listOf(
                    ServiceShare(SERVICE, 90),
                    ServiceShare(PoolName.parse("b"), 10),
                    ServiceShare(PoolName.parse("c"), 0),
                ),
            )
            it("follows the weights and never returns a service with weight 0") {
                weighted.serviceFor(0.0).service shouldBe SERVICE
                weighted.serviceFor(0.89).service shouldBe SERVICE
                weighted.serviceFor(0.9).service.text shouldBe "b"
                weighted.serviceFor(0.9999999).service.text shouldBe "b"
            }
        }
    })
