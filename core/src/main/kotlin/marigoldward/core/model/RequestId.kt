package marigoldward.core.model

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline

/** Identifies one request of a caller in logs, headers and responses. */
@JvmInline
@Serializable
public value class RequestId private constructor(
    /** 1 to 64 letters, digits, `.`, `_` and `-`. */
    public val text: String,
) {
    override fun toString(): String = text

    public companion object {
        /** Returns the identifier written as [text], or null if it is not valid. */
        public fun parseOrNull(text: String): RequestId? = if (isValidName(text)) RequestId(text) else null

        /**
         * Returns the identifier written as [text].
         *
         * @throws IllegalArgumentException if [text] is not valid
         */
        public fun parse(text: String): RequestId =
            requireNotNull(parseOrNull(text)) { "\"$text\" is not a valid request id: $NAME_RULE" }
    }
}
