package marigoldward.gateway.control

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import marigoldward.core.getOrNull
import marigoldward.core.routes.CallerLimits
import marigoldward.core.routes.RouteConfiguration
import marigoldward.core.time.ClockReading
import marigoldward.core.workspaces.Workspace
import marigoldward.wire.feed.EntryExchangeReply

private fun configuration(version: Long, workspaces: List<Workspace>? = emptyList()): RouteConfiguration = checkNotNull(
    RouteConfiguration.check(version, emptyList(), emptyList(), CallerLimits.DEFAULT, workspaces).getOrNull(),
)

class ConfirmedRoutesTest :
    DescribeSpec({
        describe("a gateway that starts") {
            var now = ClockReading(0, 0)

            fun reply(version: Long) = EntryExchangeReply(isConfirmed = true, routesVersion = version)

            // Guards against callers that a balancer sends to a gateway which refuses all their keys.
            it("is ready once its configuration is confirmed, and stays ready") {
                now = ClockReading(0, 0)
                val routes = ConfirmedRoutes(5_000) { now }
                routes.isStartOver(configuration(1)) shouldBe false
                routes.onReply(reply(2), now)
                routes.isStartOver(configuration(1)) shouldBe false
                routes.isStartOver(configuration(2)) shouldBe true
                now = ClockReading(60_000, 60_000)
                routes.isConfirmed(2) shouldBe false
                routes.isStartOver(configuration(2)) shouldBe true
            }
            it("is ready at once if its configuration has no workspaces") {
                ConfirmedRoutes(5_000) { now }.isStartOver(configuration(1, workspaces = null)) shouldBe true
            }
            // Guards against public routes that no gateway serves while control has no majority.
            it("is ready for requests without keys after the bound") {
                now = ClockReading(0, 0)
                val routes = ConfirmedRoutes(5_000) { now }
                routes.isStartOver(configuration(1)) shouldBe false
                now = ClockReading(5_000, 5_000)
                routes.isStartOver(configuration(1)) shouldBe true
                routes.isConfirmed(1) shouldBe false
            }
        }
    })
