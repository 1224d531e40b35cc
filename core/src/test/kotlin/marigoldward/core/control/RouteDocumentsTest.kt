package marigoldward.core.control

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import marigoldward.core.routes.RouteDocument
import java.io.ByteArrayOutputStream
import java.util.zip.Deflater
import java.util.zip.GZIPOutputStream

private fun document(version: Long, content: String): RouteDocument = RouteDocument(version, content.toByteArray())

private fun store(state: ControlState, version: Long, content: String): AppliedCommand =
    ControlStateMachine.apply(state, 1, ControlCommand.StoreRoutes(document(version, content)))

/** Compresses [content] with a level other than that of the program, as another version of the compressor might. */
private fun gzip(content: ByteArray, level: Int): ByteArray {
    val output = ByteArrayOutputStream()
    val stream = object : GZIPOutputStream(output) {
        init {
            def.setLevel(level)
        }
    }
    stream.use { it.write(content) }
    return output.toByteArray()
}

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
            // An acknowledged configuration that was sent again was refused by an instance that compresses otherwise.
            it("is reported as superseded if it is the stored one, compressed otherwise") {
                val compressed = listOf(Deflater.BEST_SPEED, Deflater.NO_COMPRESSION).map { level ->
                    RouteDocument(5, gzip("five five five five".toByteArray(), level))
                }
                compressed[0] shouldNotBe compressed[1]
                val first = ControlStateMachine.apply(ControlState.EMPTY, 1, ControlCommand.StoreRoutes(compressed[0]))
                val second = ControlStateMachine.apply(first.state, 2, ControlCommand.StoreRoutes(compressed[1]))
                second.outcome shouldBe ControlOutcome.RoutesSuperseded(5)
                second.state shouldBe first.state
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
