package marigoldward.support.json

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import marigoldward.core.Outcome
import marigoldward.core.getOrNull
import marigoldward.core.map

/**
 * Reads pages of a list whose entries have several writers. An entry that is not UTF-8, not JSON or beyond the bounds, or
 * that the caller can't use, is left out by itself and counted, wherever it stands.
 *
 * @param field the field of the page that holds the list
 * @param otherField another field that each page has, or null if there is none
 * @param pageBounds the bounds of a page without its entries
 * @param entryBounds the bounds of each entry
 */
public class JsonListReader(
    private val field: String,
    private val otherField: String?,
    pageBounds: JsonBounds,
    entryBounds: JsonBounds,
) {
    private val maxPageBytes = pageBounds.maxBytes
    private val pageJson = BoundedJson.within(pageBounds)
    private val entryJson = BoundedJson.within(entryBounds)

    /**
     * A page.
     *
     * @property frame the page with an empty list
     * @property unreadableEntries the number of entries that were left out
     */
    public data class Page<T>(val frame: JsonObject, val entries: List<T>, val unreadableEntries: Int)

    /**
     * Returns the page in [content], each of its entries as [toEntry] returns it, or why it can't be read. Entries for which
     * [toEntry] returns null are left out.
     */
    public fun <T : Any> read(content: ByteArray, toEntry: (JsonElement) -> T?): Outcome<Page<T>, JsonProblem> {
        if (content.size > maxPageBytes) return Outcome.Failure(JsonProblem.TooLong(maxPageBytes))
        val page = JsonListPage.divideOrNull(content, field, otherField)
            ?: return Outcome.Failure(JsonProblem.Malformed("it has no list \"$field\" that ends"))
        return pageJson.readTree(page.frame).map { frame ->
            val entries = page.entries.mapNotNull { bytes -> entryOrNull(bytes)?.let(toEntry) }
            Page(frame as JsonObject, entries, page.entries.size + page.skipped - entries.size)
        }
    }

    private fun entryOrNull(bytes: ByteArray): JsonElement? =
        if (hasControlInString(bytes)) null else entryJson.readTree(bytes).getOrNull()?.takeIf(::isStrict)

    /** Whether a string has a control character that isn't escaped, which the parser takes. */
    private fun hasControlInString(bytes: ByteArray): Boolean {
        var isInString = false
        var isEscaped = false
        return bytes.any { byte ->
            when {
                isEscaped -> isEscaped = false
                byte == BACKSLASH -> isEscaped = isInString
                byte == QUOTE -> isInString = !isInString
            }
            isInString && byte in 0 until FIRST_PRINTABLE
        }
    }

    /** Whether all literals in [element] are those of JSON, and all strings are Unicode, which the parser doesn't check. */
    private fun isStrict(element: JsonElement): Boolean = when (element) {
        is JsonArray -> element.all(::isStrict)
        is JsonObject -> element.all { (key, value) -> isUnicode(key) && isStrict(value) }
        is JsonNull -> true
        is JsonPrimitive ->
            if (element.isString) {
                isUnicode(element.content)
            } else {
                element.content in LITERALS || NUMBER.matches(element.content)
            }
    }

    private fun isUnicode(text: String): Boolean =
        text.none(Char::isSurrogate) || Charsets.UTF_8.newEncoder().canEncode(text)

    private companion object {
        const val QUOTE = '"'.code.toByte()
        const val BACKSLASH = '\\'.code.toByte()
        const val FIRST_PRINTABLE = ' '.code
        val LITERALS = setOf("true", "false", "null")
        val NUMBER = Regex("-?(0|[1-9][0-9]*)(\\.[0-9]+)?([eE][+-]?[0-9]+)?")
    }
}
