package marigoldward.support.time

import marigoldward.core.time.ClockReading

/** The clocks of this process. */
public object SystemClocks {
    /** Reads both clocks. */
    public fun read(): ClockReading = ClockReading(MonotonicClock.nowMillis(), System.currentTimeMillis())
}
