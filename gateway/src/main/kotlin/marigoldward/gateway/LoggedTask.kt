package marigoldward.gateway

import marigoldward.support.duty.BrokenInvariant
import marigoldward.support.log.EventLog

private val log = EventLog.fromName("loop")

/**
 * Returns a task for an event loop that runs [action] and logs its failure. The loop itself discards failures, and
 * runs a repeated task no more after one, so the process is halted if the failure cannot be logged.
 */
internal fun loggedTask(action: () -> Unit): Runnable = Runnable {
    try {
        action()
    } catch (failure: Throwable) {
        try {
            GatewayMetrics.failedTasks.inc()
            log.warn("task_failed") {
                field("reason", failure)
                field("at", failure.stackTrace.firstOrNull())
            }
        } catch (error: Error) {
            BrokenInvariant.haltProcess("loop", error)
        }
    }
}
