package marigoldward.support.directory

import marigoldward.core.Outcome
import marigoldward.support.duty.Duty
import marigoldward.support.log.EventLog
import marigoldward.support.time.MonotonicClock

/** Reads the directory of upstreams on one thread and hands every list to [onRead]. */
public class DirectoryDuty(private val source: DirectorySource, private val onRead: (DirectoryReading) -> Unit) :
    AutoCloseable {
    private data object Read

    private var isFailing = false
    private val duty: Duty<Read> = Duty.start("directory", RING_EVENTS) { read() }

    /** Asks for one reading. */
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
        const val RING_EVENTS = 4
        val log = EventLog.fromName("directory")
    }
}
