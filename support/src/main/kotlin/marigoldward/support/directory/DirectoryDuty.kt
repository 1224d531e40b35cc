package marigoldward.support.directory

import marigoldward.core.Outcome
import marigoldward.core.dispatch.ListedUpstream
import marigoldward.support.duty.Duty
import marigoldward.support.log.EventLog
import marigoldward.support.time.MonotonicClock

/** Reads the directory of upstreams on a thread of its own and passes each list to [onRead] on that thread. */
public class DirectoryDuty(private val source: DirectorySource, private val onRead: (DirectoryReading) -> Unit) :
    AutoCloseable {
    private data object Read

    private var isFailing = false
    private val duty: Duty<Read> = Duty.start("directory", MAX_PENDING_READS) { read() }

    /** Requests one read and returns at once. The request is dropped if too many others are pending. */
    public fun poll() {
        duty.offer(Read)
    }

    override fun close(): Unit = duty.close()

    private fun read() {
        val startMillis = MonotonicClock.nowMillis()
        when (val result = readSource()) {
            is Outcome.Success -> {
                if (isFailing) log.info("directory_regained")
                isFailing = false
                onRead(DirectoryReading(result.value, startMillis))
            }
            is Outcome.Failure -> {
                if (!isFailing) log.warn("directory_lost") { field("reason", result.error) }
                isFailing = true
            }
        }
    }

    /** Reads the source. An answer that it can't handle is a failed reading, which must not end the process. */
    private fun readSource(): Outcome<List<ListedUpstream>, String> = try {
        source.read()
    } catch (failure: Exception) {
        log.warn("directory_not_handled") { field("error", failure.stackTraceToString()) }
        Outcome.Failure(failure.toString())
    }

    private companion object {
        const val MAX_PENDING_READS = 4
        val log = EventLog.fromName("directory")
    }
}
