package marigoldward.support.json

/**
 * What a JSON text from outside may ask of its reader.
 *
 * @property maxBytes the greatest length in bytes
 * @property maxDepth the greatest number of arrays and objects that enclose each other
 * @property maxValues the greatest number of values, those below [maxDepth] left out: elements of arrays, fields of
 *   objects, and the text as a whole
 * @property maxFields the greatest number of fields of one object
 * @property deepValues what becomes of an array or object below [maxDepth]
 * @throws IllegalArgumentException if a bound is not positive
 */
public data class JsonBounds(
    val maxBytes: Int,
    val maxDepth: Int,
    val maxValues: Int,
    val maxFields: Int = maxValues,
    val deepValues: DeepValues = DeepValues.REFUSED,
) {
    init {
        require(maxBytes > 0) { "maxBytes is $maxBytes" }
        require(maxDepth > 0) { "maxDepth is $maxDepth" }
        require(maxValues > 0) { "maxValues is $maxValues" }
        require(maxFields > 0) { "maxFields is $maxFields" }
    }

    /** The treatment of arrays and objects that are nested too deeply. */
    public enum class DeepValues {
        /** The whole text is refused. */
        REFUSED,

        /** Such a value is read as `null`, without a tree of it, and the others are kept. */
        READ_AS_NULL,
    }

    /** Holds bounds that several readers share. */
    public companion object {
        /** The bounds of a message from an upstream or of the list of a stand-in platform. */
        public val MESSAGE: JsonBounds = JsonBounds(maxBytes = 4 * 1_024 * 1_024, maxDepth = 16, maxValues = 200_000)
    }
}
