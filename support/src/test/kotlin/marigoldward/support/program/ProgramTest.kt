package marigoldward.support.program

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import java.io.File
import java.util.concurrent.TimeUnit

/** A program whose start takes [START_MILLIS]. */
internal object SlowlyStartingProgram {
    const val START_MILLIS = 1_500L

    @JvmStatic
    fun main(arguments: Array<String>) {
        Program.run {
            println("starting")
            if (arguments.firstOrNull() == "library") throw NoClassDefFoundError("no library")
            if (arguments.isNotEmpty()) error("no ${arguments[0]}")
            Thread.sleep(START_MILLIS)
            AutoCloseable { println("closed") }
        }
    }
}

private fun startProcess(vararg arguments: String): Process {
    val java = File(System.getProperty("java.home"), "bin/java").path
    val command = listOf(java, "-cp", System.getProperty("java.class.path"), SlowlyStartingProgram::class.java.name)
    return ProcessBuilder(command + arguments).redirectErrorStream(true).start()
}

private val LOG_LINE = Regex("time=\\S+ level=\\S+ logger=\\S+ event=.*")

/** Returns the reason and the exit code in a log line about the end of a process. */
private fun endReason(line: String): String =
    line.substringAfter(" event=process_ends reason=", "").substringBefore(" error=")

class ProgramTest :
    DescribeSpec({
        // A process that got SIGTERM during its start ended without closing what it had started.
        describe("a program that is asked to terminate while it starts") {
            it("is closed once it has started") {
                val process = startProcess()
                val output = process.inputReader()
                val first = output.readLine()
                process.toHandle().destroy()
                listOf(first) + output.readLines() shouldContainExactly listOf("starting", "closed")
                process.waitFor() shouldBe 143
            }
        }
        describe("a program that can't start") {
            it("prints the cause and ends") {
                val process = startProcess("room")
                val (logged, printed) = process.inputReader().readLines().partition { LOG_LINE.matches(it) }
                printed shouldContainExactly listOf("starting", "cannot start: IllegalStateException: no room")
                logged.map(::endReason) shouldContainExactly listOf("cannot_start exit_code=1")
                process.waitFor(5, TimeUnit.SECONDS) shouldBe true
                process.exitValue() shouldBe Program.EXIT_START
            }
            // An Error during the start left a process that neither worked nor ended, not even at SIGTERM.
            it("prints the cause and ends if the cause is an Error") {
                val process = startProcess("library")
                val hasEnded = process.waitFor(5, TimeUnit.SECONDS)
                if (!hasEnded) process.destroyForcibly()
                hasEnded shouldBe true
                val (logged, printed) = process.inputReader().readLines().partition { LOG_LINE.matches(it) }
                printed shouldContainExactly listOf("starting", "cannot start: NoClassDefFoundError: no library")
                logged.map(::endReason) shouldContainExactly listOf("cannot_start exit_code=1")
                process.exitValue() shouldBe Program.EXIT_START
            }
        }
    })
