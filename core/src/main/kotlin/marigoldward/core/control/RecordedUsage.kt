package marigoldward.core.control

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.Serializable

/**
 * The usage windows whose counts are final.
 *
 * @property lastWindow the last window that was recorded, or null if none was
 * @property unreported the counts of the windows whose reports have not been accepted, by workspace, the oldest first
 */
@Serializable
public data class RecordedUsage(
    val lastWindow: Long? = null,
    val unreported: StateMap<Long, Map<String, Long>> = persistentMapOf(),
)
