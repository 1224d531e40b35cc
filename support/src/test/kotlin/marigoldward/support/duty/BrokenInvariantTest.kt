package marigoldward.support.duty

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.io.File

/** A program with a duty whose handler throws. */
internal object FailingDutyProgram {
    @JvmStatic
    fun main(arguments: Array<String>) {
        val duty = Duty.start<String>("failing", 16) { error("no value") }
        duty.put("event")
        while (true) Thread.sleep(Long.MAX_VALUE)
    }
}

class BrokenInvariantTest :
    DescribeSpec({
        // The line that says why the process ended was still in the queue of the log when the process halted.
        describe("a process whose duty throws") {
            it("logs the failure before it ends") {
                val java = File(System.getProperty("java.home"), "bin/java").path
                val command =
                    listOf(java, "-cp", System.getProperty("java.class.path"), FailingDutyProgram::class.java.name)
                val process = ProcessBuilder(command).redirectErrorStream(true).start()
                val output = process.inputReader().readText()
                process.waitFor() shouldBe BrokenInvariant.EXIT_CODE
                output shouldContain "event=invariant_broken part=failing"
                output shouldContain "no value"
            }
        }
    })
