package marigoldward.support.directory

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import marigoldward.core.Outcome
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds

class DirectoryDutyTest :
    DescribeSpec({
        // An answer of the directory that its reader could not handle halted the process with exit code 70.
        describe("an exception while the directory is read") {
            it("is a failed reading; the next is tried") {
                val attempts = AtomicInteger()
                val readings = AtomicInteger()
                val source = DirectorySource {
                    check(attempts.incrementAndGet() > 2) { "the answer can't be handled" }
                    Outcome.Success(emptyList())
                }
                DirectoryDuty(source) { readings.incrementAndGet() }.use { duty ->
                    eventually(5.seconds) {
                        duty.poll()
                        (readings.get() > 0) shouldBe true
                    }
                }
            }
        }
    })
