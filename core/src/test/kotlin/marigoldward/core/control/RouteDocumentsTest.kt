package marigoldward.core.control

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import marigoldward.core.routes.RouteDocument

private fun document(version: Long, content: String): RouteDocument = RouteDocument(version, content.toByteArray())

private fun store(state: ControlState, version: Long, content: String): AppliedCommand =
    ControlStateMachine.apply(state, 1, ControlCommand.StoreRoutes(document(version, content)))

class RouteDocumentsTest :
    DescribeSpec({
        describe("an offered route configuration") {
            val stored = store(ControlState.EMPTY, 5, "five").state

            it("replaces the stored one if its version is higher") {
                val applied = store(stored, 9, "nine")
                applied.outcome shouldBe ControlOutcome.RoutesStored(9)
                applied.state.routes shouldBe document(9, "nine")
            }
            it("is reported as superseded and changes nothing if it is the stored one") {
                val applied = store(stored, 5, "five")
                applied.outcome shouldBe ControlOutcome.RoutesSuperseded(5)
                applied.state shouldBe stored
            }
            it("is reported as superseded and changes nothing if its version is lower") {
                store(stored, 4, "four").state shouldBe stored
                store(stored, 4, "four").outcome shouldBe ControlOutcome.RoutesSuperseded(5)
            }
            it("is rejected if it has the stored version but different content") {
                val applied = store(stored, 5, "other")
                applied.outcome shouldBe ControlOutcome.RoutesVersionTaken(5)
                applied.state shouldBe stored
            }
        }
    })
