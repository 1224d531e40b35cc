package marigoldward.core.internal

import com.dynatrace.hash4j.hashing.Hashing

/**
 * Rendezvous (highest random weight) hashing: all processes order the same members in the same way without
 * exchanging messages.
 */
internal object RendezvousHashing {
    /** Returns the weight of the member with [memberHash] for [key]. The greatest weight comes first. */
    fun weight(key: Long, memberHash: Long): Long = Hashing.komihash5_0().hashLongLongToLong(key, memberHash)

    /** Returns the hash of the member called [name]. */
    fun hash(name: String): Long = Hashing.komihash5_0().hashCharsToLong(name)
}
