package marigoldward.support.log

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.spi.ILoggingEvent
import io.prometheus.metrics.core.metrics.Counter

/** Hands lines to a thread of its own and never waits: what does not fit into its queue is left out and counted. */
public class BoundedAppender : AsyncAppender() {
    init {
        isNeverBlock = true
        discardingThreshold = 0
        queueSize = QUEUE_LINES
    }

    override fun append(event: ILoggingEvent) {
        if (remainingCapacity == 0) left.inc()
        super.append(event)
    }

    private companion object {
        /** A few seconds of lines of a busy process. */
        const val QUEUE_LINES = 2_048
        val left: Counter =
            Counter
                .builder()
                .name("marigoldward_log_lines_left_out_total")
                .help("Log lines that were left out since too many were waiting")
                .register()
    }
}
