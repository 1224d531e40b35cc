package marigoldward.support.log

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.PatternLayoutEncoder
import ch.qos.logback.classic.spi.Configurator
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.spi.ContextAwareBase
import org.slf4j.Logger

/**
 * Configures logging in code, as reading a configuration file takes a quarter of the processor time of a start.
 *
 * A Java property or else an environment variable sets the stream (`MARIGOLDWARD_LOG_STREAM`, `System.out` by default)
 * and the level of the own loggers (`MARIGOLDWARD_LOG_LEVEL`, `INFO` by default).
 */
public class LogConfigurator :
    ContextAwareBase(),
    Configurator {
    override fun configure(loggerContext: LoggerContext): Configurator.ExecutionStatus {
        val encoder = PatternLayoutEncoder()
        encoder.context = loggerContext
        encoder.pattern = PATTERN
        encoder.start()
        val console = ConsoleAppender<ILoggingEvent>()
        console.context = loggerContext
        console.name = "STDOUT"
        console.setTarget(setting("MARIGOLDWARD_LOG_STREAM") ?: "System.out")
        console.encoder = encoder
        console.start()
        val bounded = BoundedAppender()
        bounded.context = loggerContext
        bounded.name = "BOUNDED"
        bounded.addAppender(console)
        bounded.start()
        val root = loggerContext.getLogger(Logger.ROOT_LOGGER_NAME)
        root.level = Level.WARN
        root.addAppender(bounded)
        loggerContext.getLogger("marigoldward").level = Level.toLevel(setting("MARIGOLDWARD_LOG_LEVEL"), Level.INFO)
        return Configurator.ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
    }

    private fun setting(name: String): String? = System.getProperty(name) ?: System.getenv(name)

    private companion object {
        const val PATTERN =
            "time=%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} level=%level logger=%logger{0} %msg%n%ex{6}"
    }
}
