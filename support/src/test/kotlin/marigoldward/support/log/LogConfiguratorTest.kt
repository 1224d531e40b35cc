package marigoldward.support.log

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.LoggerContext
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldMatch
import io.kotest.matchers.types.shouldBeInstanceOf
import java.io.File

private fun configured(): LoggerContext = LoggerContext().also { LogConfigurator().configure(it) }

/** Logs one event of each level, and ends. */
internal object LoggingProgram {
    @JvmStatic
    fun main(arguments: Array<String>) {
        val log = EventLog.fromName("test")
        log.debug("debugged")
        log.info("informed") { field("id", 1) }
        log.warn("warned")
        EventLog.flush()
    }
}

class LogConfiguratorTest :
    DescribeSpec({
        describe("the configuration of logging") {
            it("logs from INFO on for the own loggers and from WARN on for others, over a bounded queue") {
                val context = configured()
                context.getLogger("marigoldward.session").effectiveLevel shouldBe Level.INFO
                context.getLogger("io.netty").effectiveLevel shouldBe Level.WARN
                val appenders = context.getLogger(Logger.ROOT_LOGGER_NAME).iteratorForAppenders()
                appenders.next().shouldBeInstanceOf<BoundedAppender>()
                appenders.hasNext() shouldBe false
                context.stop()
            }
            it("takes the level of the own loggers from a property") {
                System.setProperty("MARIGOLDWARD_LOG_LEVEL", "debug")
                try {
                    configured().getLogger("marigoldward.session").effectiveLevel shouldBe Level.DEBUG
                } finally {
                    System.clearProperty("MARIGOLDWARD_LOG_LEVEL")
                }
            }
            it("writes a line for each event to standard output") {
                val java = File(System.getProperty("java.home"), "bin/java").path
                val classPath = System.getProperty("java.class.path")
                val process = ProcessBuilder(java, "-cp", classPath, LoggingProgram::class.java.name).start()
                val lines = process.inputReader().readLines()
                lines.size shouldBe 2
                lines[0] shouldMatch
                    "time=\\d{4}-\\d\\d-\\d\\dT\\d\\d:\\d\\d:\\d\\d\\.\\d{3}\\S+ level=INFO logger=test event=informed id=1"
                lines[1] shouldMatch ".* level=WARN logger=test event=warned"
            }
        }
    })
