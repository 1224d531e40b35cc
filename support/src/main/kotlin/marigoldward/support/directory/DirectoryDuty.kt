package marigoldward.support.directory

import marigoldward.core.Outcome
import marigoldward.core.dispatch.ListedUpstream
import marigoldward.core.map
import marigoldward.support.duty.Duty
import marigoldward.support.log.EventLog
import marigoldward.support.time.MonotonicClock

/**
 * Reads the directory of upstreams on a thread of its own and passes each list to [onRead] on that thread.
 *
 * Whatever an answer does to its reading, an [Error] of the virtual machine included, is a failed reading: the thread keeps
 * no state that it could leave inconsistent, and the list in use stays.
 */
public class DirectoryDuty(private val source: DirectorySource, private val onRead: (DirectoryReading) -> Unit) :
    AutoCloseable {
    private data object Read

    /** Why the last reading has failed, or null if it has succeeded. */
    private var failureReason: String? = null
    private val duty: Duty<Read> = Duty.start("directory", MAX_PENDING_READS) { read() }

    /** Requests one read and returns at once. The request is dropped if too many others are pending. */
    public fun poll() {
        duty.offer(Read)
    }

    override fun close(): Unit = duty.close()

    private fun read() {
        val startMillis = MonotonicClock.nowMillis()
        when (val result = readSource { upstreams -> onRead(DirectoryReading(upstreams, startMillis)) }) {
            is Outcome.Success -> {
                if (failureReason != null) log.info("directory_regained")
                failureReason = null
            }
            is Outcome.Failure -> {
                if (result.error != failureReason) log.warn("directory_lost") { field("reason", result.error) }
                failureReason = result.error
            }
        }
    }

    private fun readSource(use: (List<ListedUpstream>) -> Unit): Outcome<Unit, String> = try {
        source.read().map(use)
    } catch (failure: Throwable) {
        // The log line takes memory, which may be what is missing.
        runCatching { logNotHandled(failure) }
        Outcome.Failure(failure.javaClass.name)
    }

    /** Logs [failure]. The trace of a stack that overflowed has a thousand lines. */
    private fun logNotHandled(failure: Throwable) {
        log.warn("directory_not_handled") { field("error", failure.stackTraceToString().take(MAX_TRACE_CHARS)) }
    }

    private companion object {
        const val MAX_PENDING_READS = 4
        const val MAX_TRACE_CHARS = 2_000
        val log = EventLog.fromName("directory")
    }
}
