package marigoldward.core.control

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline

/** Identifies one command to an engine. A command that is sent again keeps its identifier. */
@JvmInline
@Serializable
public value class CommandId private constructor(
    /** The identifier as it is sent to engines. */
    public val text: String,
) {
    override fun toString(): String = text

    public companion object {
        /**
         * Returns the identifier written as [text].
         *
         * @throws IllegalArgumentException if [text] is blank
         */
        public fun parse(text: String): CommandId {
            require(text.isNotBlank()) { "a command id must not be blank" }
            return CommandId(text)
        }
    }
}
