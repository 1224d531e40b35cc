package marigoldward.core.model

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline

/**
 * The name of a pool of upstreams that serve the same model or service.
 *
 * It consists of 1 to 64 letters, digits, `.`, `_` and `-`.
 */
@JvmInline
@Serializable
public value class PoolName private constructor(
    /** The name as it is written in settings and messages. */
    public val text: String,
) {
    override fun toString(): String = text

    public companion object {
        /**
         * Returns the name written as [text].
         *
         * @throws IllegalArgumentException if [text] is not a valid name
         */
        public fun parse(text: String): PoolName =
            requireNotNull(parseOrNull(text)) { "\"$text\" is not a valid name: $NAME_RULE" }

        /** Returns the name written as [text], or null if it is not a valid name. */
        public fun parseOrNull(text: String): PoolName? = if (isValidName(text)) PoolName(text) else null
    }
}
