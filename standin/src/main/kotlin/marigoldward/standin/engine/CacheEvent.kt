package marigoldward.standin.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A change to an engine's prefix cache.
 *
 * @property sequence a number that grows by one with each event, so that a reader notices missed events
 * @property piece the hash of the piece of a prompt, which also covers everything before it
 */
@Serializable
public data class CacheEvent(val sequence: Long, val kind: Kind, val piece: Long) {
    /** The kind of change. */
    @Serializable
    public enum class Kind {
        /** The piece was added to the cache. */
        @SerialName("stored")
        STORED,

        /** The piece was evicted from the cache. */
        @SerialName("evicted")
        EVICTED,
    }
}
