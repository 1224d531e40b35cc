package marigoldward.entry.upstream

import kotlinx.serialization.DeserializationStrategy
import marigoldward.core.Outcome
import marigoldward.support.json.BoundedJson
import marigoldward.support.json.JsonBounds
import marigoldward.support.json.JsonProblem

/** Reads the JSON messages of engines. */
internal object EngineMessageJson {
    private val json = BoundedJson.within(JsonBounds.MESSAGE)

    /** Returns the message in [text], or why it can't be read. */
    fun <T> read(deserializer: DeserializationStrategy<T>, text: String): Outcome<T, JsonProblem> =
        json.read(deserializer, text)
}
