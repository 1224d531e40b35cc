package marigoldward.support.json

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import marigoldward.core.Outcome
import marigoldward.core.flatMap

/**
 * Reads JSON from outside the system. A text within the bounds takes a bounded stack and heap; any other is refused before
 * it is parsed. Fields that a serializer doesn't know are ignored.
 */
public class BoundedJson private constructor(private val bounds: JsonBounds) {
    /** Returns the tree of [text], or why it can't be read. The length of a text is counted in characters. */
    public fun readTree(text: String): Outcome<JsonElement, JsonProblem> = parse(text, json::parseToJsonElement)

    /** Returns the tree of [content], which is UTF-8, or why it can't be read. */
    public fun readTree(content: ByteArray): Outcome<JsonElement, JsonProblem> = decode(content).flatMap(::readTree)

    /** Returns the value of [text], or why it can't be read. The length of a text is counted in characters. */
    public fun <T> read(deserializer: DeserializationStrategy<T>, text: String): Outcome<T, JsonProblem> =
        parse(text) { json.decodeFromString(deserializer, it) }

    /** Returns the value of [content], which is UTF-8, or why it can't be read. */
    public fun <T> read(deserializer: DeserializationStrategy<T>, content: ByteArray): Outcome<T, JsonProblem> =
        decode(content).flatMap { read(deserializer, it) }

    private fun decode(content: ByteArray): Outcome<String, JsonProblem> = when {
        content.size > bounds.maxBytes -> Outcome.Failure(JsonProblem.TooLong(bounds.maxBytes))
        else -> try {
            Outcome.Success(content.decodeToString(throwOnInvalidSequence = true))
        } catch (failure: CharacterCodingException) {
            Outcome.Failure(JsonProblem.Malformed("it is not UTF-8: ${failure.message}"))
        }
    }

    private fun <T> parse(text: String, parse: (String) -> T): Outcome<T, JsonProblem> =
        JsonScan(text, bounds).checkedText().flatMap { checked ->
            try {
                Outcome.Success(parse(checked))
            } catch (failure: SerializationException) {
                Outcome.Failure(JsonProblem.Malformed(reasonOf(failure)))
            } catch (failure: IllegalArgumentException) {
                Outcome.Failure(JsonProblem.Malformed(reasonOf(failure)))
            }
        }

    private fun reasonOf(failure: Exception): String =
        failure.message.orEmpty().lineSequence().first().take(MAX_REASON_CHARS)

    /** Creates readers. */
    public companion object {
        private const val MAX_REASON_CHARS = 200
        private val json = Json { ignoreUnknownKeys = true }

        /** Returns a reader of texts within [bounds]. */
        public fun within(bounds: JsonBounds): BoundedJson = BoundedJson(bounds)
    }
}
