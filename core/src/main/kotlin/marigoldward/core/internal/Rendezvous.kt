package marigoldward.core.internal

import com.dynatrace.hash4j.hashing.Hashing

/** Highest-random-weight hashing: all processes order the same members in the same way without talking. */
internal object Rendezvous {
    /** Returns the weight of the member with [memberHash] for [key]; the heaviest goes first. */
    fun weight(key: Long, memberHash: Long): Long = Hashing.komihash5_0().hashLongLongToLong(key, memberHash)

    /** Returns the hash of a member's name. */
    fun hash(name: String): Long = Hashing.komihash5_0().hashCharsToLong(name)
}
