package marigoldward.core.usage

/**
 * Numbers the windows in which usage is counted: window k begins k lengths after the start of 1970, in true time.
 *
 * @property lengthMillis the length of a window, which is positive
 */
public data class UsageWindows(val lengthMillis: Long) {
    init {
        require(lengthMillis > 0) { "the length of a usage window is $lengthMillis ms" }
    }

    /** Returns the window at [epochMillis]. */
    public fun at(epochMillis: Long): Long = Math.floorDiv(epochMillis, lengthMillis)

    /** Returns when [window] ends, in milliseconds since 1970. */
    public fun endMillis(window: Long): Long = (window + 1) * lengthMillis
}
