package marigoldward.support.directory

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class DirectoryBookTest :
    DescribeSpec({
        describe("the cached list of upstreams") {
            it("is replaced only by a newer list") {
                val cache = DirectoryCache(1_500, 1_000)
                cache.replaceUnlessOlder(emptyList(), 1_000) shouldBe true
                cache.replaceUnlessOlder(emptyList(), 900) shouldBe false
                cache.ageMillisOrNull(1_500) shouldBe 500L
            }
            it("does not become newer when it is replaced by the list of the same read") {
                val cache = DirectoryCache(1_500, 1_000)
                cache.replaceUnlessOlder(emptyList(), 1_000)
                cache.replaceUnlessOlder(emptyList(), 1_000) shouldBe true
                cache.ageMillisOrNull(4_000) shouldBe 3_000L
            }
            it("is read by the process itself once it is too old, at most once per period") {
                val cache = DirectoryCache(1_600, 1_100)
                cache.replaceUnlessOlder(emptyList(), 0)
                cache.markReadStartedIfDue(1_600) shouldBe false
                cache.markReadStartedIfDue(1_601) shouldBe true
                cache.markReadStartedIfDue(1_700) shouldBe false
                cache.markReadStartedIfDue(2_702) shouldBe true
            }
        }
    })
