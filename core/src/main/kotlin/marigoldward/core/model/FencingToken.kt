package marigoldward.core.model

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline

/** The fencing token of a lease: the log index of its grant. It increases with each grant of the same scope. */
@JvmInline
@Serializable
public value class FencingToken private constructor(
    /** The number; never negative. */
    public val number: Long,
) : Comparable<FencingToken> {
    override fun compareTo(other: FencingToken): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()

    public companion object {
        /** The token of a scope that has never been granted; smaller than any granted token. */
        public val NONE: FencingToken = FencingToken(0)

        /**
         * Returns the token with the given [number].
         *
         * @throws IllegalArgumentException if [number] is negative
         */
        public fun fromNumber(number: Long): FencingToken {
            require(number >= 0) { "FencingToken $number is negative" }
            return FencingToken(number)
        }
    }
}
