package marigoldward.core.workspaces

/**
 * The name of a workspace, which upstreams receive with each request of its callers.
 *
 * It consists of 1 to 128 visible ASCII characters, so that it can be the value of a header.
 */
@JvmInline
public value class WorkspaceName private constructor(
    /** The name as it is written in configurations and messages. */
    public val text: String,
) {
    override fun toString(): String = text

    public companion object {
        private const val MAX_CHARACTERS = 128

        /**
         * Returns the name written as [text].
         *
         * @throws IllegalArgumentException if [text] is not a valid name
         */
        public fun parse(text: String): WorkspaceName =
            requireNotNull(parseOrNull(text)) { "\"$text\" is not a name of 1 to $MAX_CHARACTERS visible characters" }

        /** Returns the name written as [text], or null if it is not a valid name. */
        public fun parseOrNull(text: String): WorkspaceName? =
            if (text.length in 1..MAX_CHARACTERS && text.all { it in '!'..'~' }) WorkspaceName(text) else null
    }
}
