package marigoldward.core.control

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.Serializable

/**
 * The usage windows whose counts are final.
 *
 * @property lastWindow the last window that was recorded, or null if none was
 * @property unreported the counts of the windows whose reports have not been accepted
 */
@Serializable
public data class RecordedUsage(
    val lastWindow: Long? = null,
    val unreported: StateMap<Long, WindowCounts> = persistentMapOf(),
) {
    /**
     * The final counts of a window: the requests that began in it, by workspace. A type of its own, as Protocol Buffers
     * can't hold maps whose values are maps.
     */
    @Serializable
    public data class WindowCounts(val counts: Map<String, Long> = emptyMap())
}
