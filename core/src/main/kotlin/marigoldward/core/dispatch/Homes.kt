package marigoldward.core.dispatch

import com.dynatrace.hash4j.hashing.Hashing
import marigoldward.core.model.UpstreamId

/** Highest-random-weight hashing: all entries order the same engines in the same way. */
internal object Homes {
    /** Returns the weight of [engine] for the prefix [key]; the heaviest is its home. */
    fun weight(key: Long, engine: UpstreamId): Long {
        val hasher = Hashing.komihash5_0()
        return hasher.hashLongLongToLong(key, hasher.hashCharsToLong(engine.text))
    }
}
