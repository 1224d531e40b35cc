package marigoldward.support.directory

import marigoldward.core.Outcome
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
        when (val result = source.read()) {
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

    private companion object {
        const val MAX_PENDING_READS = 4
        val log = EventLog.fromName("directory")
    }
}
