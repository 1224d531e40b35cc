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
        }
    })
