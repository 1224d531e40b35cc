package marigoldward.core.duties

import marigoldward.core.model.FencingToken
import marigoldward.core.time.ClockReading

/**
 * A fencing token that a majority has confirmed to be the current one, at some time after [askedAt].
 *
 * @property askedAt the clocks before the confirmation was requested, so that the time that it took counts against it
 */
public data class ConfirmedToken(val token: FencingToken, val askedAt: ClockReading) {
    /** Whether a call with the token may be written at [now]; not if the time since the confirmation is not known. */
    public fun mayWriteAt(now: ClockReading): Boolean {
        val sinceMillis = now.millisSinceOrNull(askedAt) ?: return false
        return sinceMillis in 0..MAX_AGE_MILLIS
    }

    private companion object {
        /** With the time for which a call is under way, shorter than the time for which a new leader waits. */
        const val MAX_AGE_MILLIS = 300L
    }
}
