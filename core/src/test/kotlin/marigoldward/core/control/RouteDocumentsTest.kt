package marigoldward.core.control

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import marigoldward.core.routes.RouteDocument

private fun document(version: Long, content: String): RouteDocument = RouteDocument(version, content.toByteArray())

private fun store(state: ControlState, version: Long, content: String): AppliedCommand =
    ControlMachine.apply(state, 1, ControlCommand.StoreRoutes(document(version, content)))

class RouteDocumentsTest :
    DescribeSpec({
        describe("a configuration of routes that is sent") {
            val held = store(ControlState.EMPTY, 5, "five").state

            it("is in force if its version is the highest") {
                val applied = store(held, 9, "nine")
                applied.outcome shouldBe ControlOutcome.RoutesStored(9)
                applied.state.routes shouldBe document(9, "nine")
            }
            it("is acknowledged and changes nothing if it is in force already") {
                val applied = store(held, 5, "five")
                applied.outcome shouldBe ControlOutcome.RoutesSuperseded(5)
                applied.state shouldBe held
            }
            it("is acknowledged and changes nothing if it is older") {
                store(held, 4, "four").state shouldBe held
                store(held, 4, "four").outcome shouldBe ControlOutcome.RoutesSuperseded(5)
            }
            it("is not acknowledged if another content has its number") {
                val applied = store(held, 5, "other")
                applied.outcome shouldBe ControlOutcome.RoutesVersionTaken(5)
                applied.state shouldBe held
            }
        }
    })
