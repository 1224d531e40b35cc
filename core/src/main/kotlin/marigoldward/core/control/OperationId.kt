package marigoldward.core.control

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline

/** Identifies a change by an operator, who chooses it, so that a repeated request for the change is recognised. */
@JvmInline
@Serializable
public value class OperationId private constructor(
    /** 1 to 128 printable characters without spaces. */
    public val text: String,
) {
    override fun toString(): String = text

    public companion object {
        private const val MAX_CHARACTERS = 128

        /** Returns the identifier written as [text], or null if it is empty, too long or has other characters. */
        public fun parseOrNull(text: String): OperationId? =
            if (text.length in 1..MAX_CHARACTERS && text.all { it in '!'..'~' }) OperationId(text) else null

        /**
         * Returns the identifier written as [text].
         *
         * @throws IllegalArgumentException if [text] is not valid
         */
        public fun parse(text: String): OperationId =
            requireNotNull(parseOrNull(text)) { "\"$text\" is not 1 to $MAX_CHARACTERS printable characters" }
    }
}
