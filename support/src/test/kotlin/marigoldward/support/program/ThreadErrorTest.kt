package marigoldward.support.program

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import marigoldward.support.duty.BrokenInvariant
import java.io.File
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** A program with a thread that ends at once: with an exhausted heap, or else with an exception. */
internal object ProgramWithEndingThread {
    @JvmStatic
    fun main(arguments: Array<String>) {
        Program.run {
            thread(name = "serving") {
                if (arguments.single() == "exception") error("a fault")
                val held = ArrayList<ByteArray>()
                while (true) held.add(ByteArray(1_024))
            }
            AutoCloseable {}
        }
    }
}

private fun start(argument: String): Process {
    val java = File(System.getProperty("java.home"), "bin/java").path
    val main = ProgramWithEndingThread::class.java.name
    return ProcessBuilder(java, "-Xmx32m", "-cp", System.getProperty("java.class.path"), main, argument)
        .redirectErrorStream(true)
        .start()
}

class ThreadErrorTest :
    DescribeSpec({
        // Guards against a process that lives on and serves nobody, as the thread that serves has ended.
        describe("a process in which a thread ends") {
            it("ends with a log line if the thread has exhausted the heap") {
                val process = start("heap")
                val log = process.inputStream.bufferedReader().readText()
                process.waitFor() shouldBe BrokenInvariant.EXIT_CODE
                log shouldContain "event=invariant_broken part=serving"
                log shouldContain "OutOfMemoryError"
                log shouldContain "event=process_halted exit_code=70"
            }
            it("goes on if the thread has thrown an exception") {
                val process = start("exception")
                val log = process.inputStream.bufferedReader()
                log.readLine() shouldContain "event=thread_failed"
                process.waitFor(500, TimeUnit.MILLISECONDS) shouldBe false
                process.destroyForcibly().waitFor()
            }
        }
    })
