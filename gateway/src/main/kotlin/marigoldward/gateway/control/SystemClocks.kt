package marigoldward.gateway.control

import marigoldward.core.workspaces.ClockReading
import marigoldward.support.time.MonotonicClock

/** The clocks of this process. */
internal object SystemClocks {
    /** Reads both clocks. */
    fun read(): ClockReading = ClockReading(MonotonicClock.nowMillis(), System.currentTimeMillis())
}
