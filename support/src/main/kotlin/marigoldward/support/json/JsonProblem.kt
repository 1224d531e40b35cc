package marigoldward.support.json

/** Why a JSON text from outside was not read. */
public sealed class JsonProblem {
    /** What is wrong, in a few words, without the text itself. */
    public abstract val message: String

    /** The text is longer than [maxBytes]. */
    public data class TooLong(val maxBytes: Int) : JsonProblem() {
        override val message: String get() = "it is longer than $maxBytes bytes"
    }

    /** Arrays and objects enclose each other more than [maxDepth] times. */
    public data class TooDeep(val maxDepth: Int) : JsonProblem() {
        override val message: String get() = "it is nested more than $maxDepth deep"
    }

    /** The text has more than [maxValues] values. */
    public data class TooManyValues(val maxValues: Int) : JsonProblem() {
        override val message: String get() = "it has more than $maxValues values"
    }

    /** An object has more than [maxFields] fields. */
    public data class TooManyFields(val maxFields: Int) : JsonProblem() {
        override val message: String get() = "an object of it has more than $maxFields fields"
    }

    /** The text is not JSON, or not of the expected form, for the [reason] that the parser gives. */
    public data class Malformed(val reason: String) : JsonProblem() {
        override val message: String get() = reason
    }

    override fun toString(): String = message
}
