package marigoldward.core.model

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline

/** The sequence number of an accepted configuration. Each accepted change increases it by one. */
@JvmInline
@Serializable
public value class Revision private constructor(
    /** The number; never negative. */
    public val number: Long,
) : Comparable<Revision> {
    override fun compareTo(other: Revision): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()

    public companion object {
        /** The revision before the first accepted configuration. */
        public val NONE: Revision = Revision(0)

        /**
         * Returns the revision with the given [number].
         *
         * @throws IllegalArgumentException if [number] is negative
         */
        public fun fromNumber(number: Long): Revision {
            require(number >= 0) { "Revision $number is negative" }
            return Revision(number)
        }
    }
}
