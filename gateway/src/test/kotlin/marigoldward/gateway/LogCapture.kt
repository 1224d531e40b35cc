package marigoldward.gateway

import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.AppenderBase
import org.slf4j.LoggerFactory
import java.util.concurrent.ConcurrentLinkedQueue

/** Collects the lines of the component [name] until it is closed. */
internal class LogCapture(name: String) : AutoCloseable {
    private val logger = LoggerFactory.getLogger("marigoldward.$name") as Logger
    private val messages = ConcurrentLinkedQueue<String>()
    private val appender =
        object : AppenderBase<ILoggingEvent>() {
            override fun append(event: ILoggingEvent) {
                messages.add(event.formattedMessage)
            }
        }

    /** The lines so far, in order. */
    val lines: List<String> get() = messages.toList()

    init {
        appender.context = logger.loggerContext
        appender.start()
        logger.addAppender(appender)
    }

    /** Returns the lines that contain all of [parts]. */
    fun linesWith(vararg parts: String): List<String> = lines.filter { line -> parts.all { it in line } }

    override fun close() {
        logger.detachAppender(appender)
        appender.stop()
    }
}
