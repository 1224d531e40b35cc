package marigoldward.support.log

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.spi.ILoggingEvent
import io.prometheus.metrics.core.metrics.Counter

/** Writes log lines on its own thread and never blocks: lines that don't fit into its queue are dropped and counted. */
public class BoundedAppender : AsyncAppender() {
    init {
        isNeverBlock = true
        discardingThreshold = 0
        queueSize = QUEUE_LINES
    }

    override fun append(event: ILoggingEvent) {
        if (remainingCapacity == 0) droppedLines.inc()
        super.append(event)
    }

    private companion object {
        /** Holds the lines that a busy process logs in a few seconds. */
        const val QUEUE_LINES = 2_048
        val droppedLines: Counter =
            Counter
                .builder()
                .name("marigoldward_log_lines_left_out_total")
                .help("Log lines that were left out since too many were waiting")
                .register()
    }
}
