package marigoldward.support.log

import ch.qos.logback.classic.LoggerContext
import io.github.oshai.kotlinlogging.KLogger
import io.github.oshai.kotlinlogging.KotlinLogging
import org.slf4j.LoggerFactory

/**
 * Writes one line of `key=value` pairs for each event.
 *
 * A value with spaces, quotes, `=` or line ends is quoted, so a line can always be split again.
 */
public class EventLog private constructor(private val logger: KLogger) {
    /** Logs a normal [event]. */
    public fun info(event: String, fields: EventFields.() -> Unit = {}) {
        logger.info { line(event, fields) }
    }

    /** Logs an [event] that an operator should look at. */
    public fun warn(event: String, fields: EventFields.() -> Unit = {}) {
        logger.warn { line(event, fields) }
    }

    /** Logs an [event] that helps to follow a single request. */
    public fun debug(event: String, fields: EventFields.() -> Unit = {}) {
        logger.debug { line(event, fields) }
    }

    private fun line(event: String, fields: EventFields.() -> Unit): String =
        EventFields.fromEvent(event).apply(fields).toLine()

    /** Creates logs. */
    public companion object {
        /** Returns the log of the part called [name]. */
        public fun fromName(name: String): EventLog = EventLog(KotlinLogging.logger("marigoldward.$name"))

        /** Writes what is waiting and takes no more lines; for the end of a process. */
        public fun flush() {
            (LoggerFactory.getILoggerFactory() as? LoggerContext)?.stop()
        }
    }
}
