package marigoldward.support.directory

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class DirectoryBookTest :
    DescribeSpec({
        describe("the list of upstreams that a process has") {
            it("is replaced by a newer one only") {
                val book = DirectoryBook(1_500, 1_000)
                book.take(emptyList(), 1_000) shouldBe true
                book.take(emptyList(), 900) shouldBe false
                book.ageMillisOrNull(1_500) shouldBe 500L
            }
            it("does not look fresh because somebody who has not read it tells it again") {
                val book = DirectoryBook(1_500, 1_000)
                book.take(emptyList(), 1_000)
                book.confirm(1_000)
                book.ageMillisOrNull(4_000) shouldBe 3_000L
            }
            it("is read by the process itself once it is old, and not too often") {
                val book = DirectoryBook(1_600, 1_100)
                book.take(emptyList(), 0)
                book.shouldRead(1_600) shouldBe false
                book.shouldRead(1_601) shouldBe true
                book.shouldRead(1_700) shouldBe false
                book.shouldRead(2_702) shouldBe true
            }
        }
    })
