package marigoldward.support.log

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class EventFieldsTest :
    DescribeSpec({
        describe("a log line") {
            it("quotes and escapes values so that it stays one line that can be parsed") {
                val fields = EventFields.fromEvent("applied")
                fields.field("revision", 3)
                fields.field("reason", "two words\nand \"more\"")
                fields.field("nothing", null)
                fields.toLine() shouldBe "event=applied revision=3 reason=\"two words\\nand \\\"more\\\"\" nothing=none"
            }
            // Guards against lines whose length callers decide and that wait in memory to be written.
            it("cuts long values") {
                val fields = EventFields.fromEvent("rejected")
                fields.field("target", "x".repeat(20_000))
                fields.field("status", 404)
                fields.toLine() shouldBe
                    "event=rejected target=${"x".repeat(EventFields.MAX_VALUE_CHARS)}... status=404"
            }
        }
    })
