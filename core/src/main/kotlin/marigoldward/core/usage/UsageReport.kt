package marigoldward.core.usage

import kotlinx.serialization.Serializable

/**
 * The requests of each workspace that began to run, by usage window, as one entry has counted them.
 *
 * @property completeWindow the last window in which the entry counts no more requests, or null if there is none
 * @property isFull whether [windows] has all windows that are not recorded; otherwise it has those that have changed
 *   since a leader confirmed them
 */
@Serializable
public data class UsageReport(
    val windows: List<Window> = emptyList(),
    val completeWindow: Long? = null,
    val isFull: Boolean = false,
) {
    /**
     * The counts of one window.
     *
     * @property number the number of the window; it begins that many window lengths after the start of 1970
     * @property counts the number of requests that began in the window, by the name of the workspace
     */
    @Serializable
    public data class Window(val number: Long, val counts: Map<String, Long> = emptyMap())
}
