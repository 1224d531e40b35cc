package marigoldward.gateway.session

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.element
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import io.netty.handler.codec.TooLongFrameException

private fun EventSplitter.feedText(text: String): List<Pair<String, String?>> =
    feed(text.toByteArray()).map { String(it.bytes) to it.id }

class EventSplitterTest :
    DescribeSpec({
        describe("a stream of events") {
            it("is split after the empty line that ends each event, and gives their ids") {
                val splitter = EventSplitter()
                splitter.feedText("id: 1\ndata: a\n\ndata: b\nid:2\r\n\r\n: comment\n\nda") shouldBe
                    listOf("id: 1\ndata: a\n\n" to "1", "data: b\nid:2\r\n\r\n" to "2", ": comment\n\n" to null)
                splitter.hasIncompleteEvent shouldBe true
                splitter.feedText("ta: c\n") shouldBe emptyList()
                splitter.hasIncompleteEvent shouldBe true
                splitter.feedText("\n") shouldBe listOf("data: c\n\n" to null)
                splitter.hasIncompleteEvent shouldBe false
            }
            it("gives the same bytes, however they are cut, and the same events") {
                val pieces = listOf("id: 1\n", "data: x\n", "\n", "\r\n", ":\n", "i", "\n\n", "id")
                checkAll(PropTestConfig(seed = 7), Arb.list(Arb.element(pieces), 0..30), Arb.int(1..9)) { parts, size ->
                    val text = parts.joinToString("")
                    val whole = EventSplitter()
                    val expected = whole.feedText(text)
                    val cut = EventSplitter()
                    text.chunked(size).flatMap { cut.feedText(it) } shouldBe expected
                    cut.hasIncompleteEvent shouldBe whole.hasIncompleteEvent
                    val rest = String(whole.takeRest())
                    String(cut.takeRest()) shouldBe rest
                    expected.joinToString("") { it.first } + rest shouldBe text
                }
            }
        }
        // Each empty line counted as an event, and newlines without end hung the gateway.
        describe("empty lines") {
            it("belong to the event after them") {
                val splitter = EventSplitter()
                splitter.feedText("\n\r\n\n") shouldBe emptyList()
                splitter.hasIncompleteEvent shouldBe false
                splitter.feedText("data: a\n\n\n") shouldBe listOf("\n\r\n\ndata: a\n\n" to null)
                splitter.hasIncompleteEvent shouldBe false
                String(splitter.takeRest()) shouldBe "\n"
            }
            it("without end are too long for an event") {
                val splitter = EventSplitter()
                shouldThrow<TooLongFrameException> {
                    repeat(100) { splitter.feed("\n".repeat(65_536).toByteArray()).shouldBeEmpty() }
                }
            }
        }
    })
