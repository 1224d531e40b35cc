package marigoldward.core.control

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline

/** The hash of a request's content, or of a part of its prompt. It does not depend on the caller. */
@JvmInline
@Serializable
public value class Fingerprint private constructor(
    /** The hash in hexadecimal digits. */
    public val hex: String,
) {
    override fun toString(): String = hex

    public companion object {
        /**
         * Returns the fingerprint written as [hex].
         *
         * @throws IllegalArgumentException if [hex] is empty or not hexadecimal
         */
        public fun parse(hex: String): Fingerprint {
            require(hex.isNotEmpty() && hex.all { it in '0'..'9' || it in 'a'..'f' }) { "\"$hex\" is not hexadecimal" }
            return Fingerprint(hex)
        }
    }
}
