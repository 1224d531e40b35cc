package marigoldward.support.json

import marigoldward.core.Outcome
import java.util.BitSet

/**
 * Checks a text against [bounds] in one pass, without recursion. Texts that are not JSON may pass: a parser that stops at
 * the first error stays within the bounds too.
 */
internal class JsonScan(private val text: String, private val bounds: JsonBounds) {
    /** The text before [copiedUntil] with its replacements, or null while there are none. */
    private var kept: StringBuilder? = null
    private var copiedUntil = 0

    /** Whether the open bracket of each depth begins an object, also below the greatest depth. */
    private val isObject = BitSet()
    private val fields = IntArray(bounds.maxDepth)
    private var depth = 0
    private var values = 1

    /** Returns the text to parse, in which values below the greatest depth may be replaced, or which bound it breaks. */
    fun checkedText(): Outcome<String, JsonProblem> {
        if (text.length > bounds.maxBytes) return Outcome.Failure(JsonProblem.TooLong(bounds.maxBytes))
        var index = 0
        while (index < text.length) {
            val problem = when (text[index]) {
                '"' -> {
                    index = endOfString(index)
                    null
                }
                '[', '{' -> openProblemOrNull(index)
                ']', '}' -> closeProblemOrNull(index)
                ',' -> commaProblemOrNull()
                else -> null
            }
            if (problem != null) return Outcome.Failure(problem)
            index++
        }
        return Outcome.Success(kept?.append(text, copiedUntil, text.length)?.toString() ?: text)
    }

    private fun openProblemOrNull(index: Int): JsonProblem? {
        isObject[depth] = text[index] == '{'
        depth++
        if (depth <= bounds.maxDepth) {
            fields[depth - 1] = 1
            values++
            return valuesProblemOrNull()
        }
        if (bounds.deepValues == JsonBounds.DeepValues.REFUSED) return JsonProblem.TooDeep(bounds.maxDepth)
        if (depth == bounds.maxDepth + 1) keepWithNull(index)
        return null
    }

    private fun closeProblemOrNull(index: Int): JsonProblem? {
        if (depth == 0) return JsonProblem.Malformed("a bracket is closed that is not open")
        depth--
        if (isObject[depth] != (text[index] == '}')) return JsonProblem.Malformed("a bracket is closed by another kind")
        if (depth == bounds.maxDepth) copiedUntil = index + 1
        return null
    }

    private fun commaProblemOrNull(): JsonProblem? {
        if (depth > bounds.maxDepth) return null
        values++
        if (depth > 0 && isObject[depth - 1] && ++fields[depth - 1] > bounds.maxFields) {
            return JsonProblem.TooManyFields(bounds.maxFields)
        }
        return valuesProblemOrNull()
    }

    private fun valuesProblemOrNull(): JsonProblem? =
        if (values > bounds.maxValues) JsonProblem.TooManyValues(bounds.maxValues) else null

    /** Writes `null` for the array or object that begins at [index]. What follows is kept from its end on. */
    private fun keepWithNull(index: Int) {
        val builder = kept ?: StringBuilder(text.length + NULL.length).also { kept = it }
        builder.append(text, copiedUntil, index).append(NULL)
        copiedUntil = text.length
    }

    /** Returns the index of the quote that ends the string which begins at [start], or the last index of the text. */
    private fun endOfString(start: Int): Int {
        var index = start + 1
        while (index < text.length && text[index] != '"') {
            index += if (text[index] == '\\') 2 else 1
        }
        return minOf(index, text.length - 1)
    }

    private companion object {
        const val NULL = "null"
    }
}
