package marigoldward.support.log

import ch.qos.logback.classic.LoggerContext
import io.github.oshai.kotlinlogging.KLogger
import io.github.oshai.kotlinlogging.KotlinLogging
import org.slf4j.LoggerFactory

/**
 * A logger that writes one line of `key=value` pairs for each event.
 *
 * A value with spaces, quotes, backslashes, `=` or line breaks is quoted, so that a line can be parsed unambiguously.
 */
public class EventLog private constructor(private val logger: KLogger) {
    /** Logs an [event] of normal operation. */
    public fun info(event: String, fields: EventFields.() -> Unit = {}) {
        logger.info { line(event, fields) }
    }

    /** Logs an [event] that an operator should investigate. */
    public fun warn(event: String, fields: EventFields.() -> Unit = {}) {
        logger.warn { line(event, fields) }
    }

    /** Logs an [event] that helps to trace a single request. */
    public fun debug(event: String, fields: EventFields.() -> Unit = {}) {
        logger.debug { line(event, fields) }
    }

    private fun line(event: String, fields: EventFields.() -> Unit): String =
        EventFields.fromEvent(event).apply(fields).toLine()

    /** Creates loggers. */
    public companion object {
        /** Returns the logger of the component [name]. */
        public fun fromName(name: String): EventLog = EventLog(KotlinLogging.logger("marigoldward.$name"))

        /** Writes the queued lines and stops logging. Call it only when the process ends. */
        public fun flush() {
            (LoggerFactory.getILoggerFactory() as? LoggerContext)?.stop()
        }
    }
}
