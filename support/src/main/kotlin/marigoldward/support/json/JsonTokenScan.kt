package marigoldward.support.json

import java.util.BitSet

/**
 * Finds the ends of JSON values in [page] by their tokens, in one pass and without recursion. It doesn't check what strings
 * and literals contain, nor where commas and colons stand.
 */
internal class JsonTokenScan(private val page: ByteArray) {
    private enum class Token { BEGIN, COMMA, COLON, VALUE }

    /** The number of bytes that were looked at, those that were looked at again included. */
    var scannedBytes = 0L
        private set

    /** Whether the byte at [index] is [char]. */
    fun isAt(index: Int, char: Char): Boolean = index < page.size && page[index] == char.code.toByte()

    /** Returns the index of the first byte at [index] or later that is no white space, at most the length of the page. */
    fun skipBlank(index: Int): Int {
        var next = index
        while (next < page.size && isBlank(page[next].toInt())) next++
        scannedBytes += next - index
        return next
    }

    /** Whether the last byte before [index] that is no white space is one of [chars]. */
    fun followsAny(index: Int, chars: String): Boolean {
        var previous = index - 1
        while (previous >= 0 && isBlank(page[previous].toInt())) previous--
        scannedBytes += index - previous
        return previous >= 0 && page[previous].toInt().toChar() in chars
    }

    /** Returns the index after the value that begins at [index], or null if its tokens are not those of a value. */
    fun endOfValueOrNull(index: Int): Int? = scanOrNull(index, isInObject = false)

    /** Whether the page is one object that ends with what begins at [index], after the value of one of its fields. */
    fun completesObject(index: Int): Boolean {
        val end = scanOrNull(index, isInObject = true) ?: return false
        return skipBlank(end) == page.size
    }

    /** Returns the index of the bracket that begins the list in the field [field] of the page, or null if there is none. */
    fun listIndexOrNull(field: String): Int? {
        val name = "\"$field\"".toByteArray()
        var index = skipBlank(0)
        if (!isAt(index, '{')) return null
        index = skipBlank(index + 1)
        while (isAt(index, '"')) {
            val nameEnd = endOfStringOrNull(index) ?: return null
            val colon = skipBlank(nameEnd)
            if (!isAt(colon, ':')) return null
            val valueIndex = skipBlank(colon + 1)
            val isField = page.copyOfRange(index, nameEnd).contentEquals(name)
            if (isField) return valueIndex.takeIf { isAt(it, '[') }
            val comma = skipBlank(endOfValueOrNull(valueIndex) ?: return null)
            if (!isAt(comma, ',')) return null
            index = skipBlank(comma + 1)
        }
        return null
    }

    /** Whether the page has the name [field] before the list that begins at [listIndex] or after its end at [endIndex]. */
    fun hasField(field: String, listIndex: Int, endIndex: Int): Boolean {
        scannedBytes += listIndex + page.size - endIndex
        val name = "\"$field\""
        return name in String(page, 0, listIndex, Charsets.ISO_8859_1) ||
            name in String(page, endIndex, page.size - endIndex, Charsets.ISO_8859_1)
    }

    /**
     * Returns the index after the value that begins at [start] or, if [isInObject], after the object whose field has ended
     * there. Null if two values follow each other, a value stands in place of a name, a bracket is closed by another kind, or the page ends before.
     */
    private fun scanOrNull(start: Int, isInObject: Boolean): Int? {
        val isObject = BitSet()
        var depth = if (isInObject) 1 else 0
        isObject[0] = true
        var previous = if (isInObject) Token.VALUE else Token.BEGIN
        var index = start
        while (index < page.size) {
            val byte = page[index].toInt()
            val char = byte.toChar()
            val next = if (isBlank(byte)) {
                index + 1
            } else {
                if (previous == Token.VALUE && char !in AFTER_VALUE) return null
                val isNamePlace = depth > 0 && isObject[depth - 1] && previous != Token.COLON && previous != Token.VALUE
                if (isNamePlace && char !in IN_PLACE_OF_NAME) return null
                when (char) {
                    '{', '[' -> {
                        isObject[depth++] = char == '{'
                        previous = Token.BEGIN
                        index + 1
                    }
                    '}', ']' -> {
                        if (depth == 0 || isObject[depth - 1] != (char == '}')) return null
                        depth--
                        previous = Token.VALUE
                        index + 1
                    }
                    ',', ':' -> {
                        previous = if (char == ',') Token.COMMA else Token.COLON
                        index + 1
                    }
                    '"' -> {
                        previous = Token.VALUE
                        endOfStringOrNull(index) ?: return null
                    }
                    else -> {
                        previous = Token.VALUE
                        endOfLiteral(index)
                    }
                }
            }
            scannedBytes += next - index
            index = next
            if (depth == 0) return index.takeIf { previous == Token.VALUE }
        }
        return null
    }

    private fun endOfStringOrNull(start: Int): Int? {
        var index = start + 1
        while (index < page.size && !isAt(index, '"')) index += if (isAt(index, '\\')) 2 else 1
        return if (index < page.size) index + 1 else null.also { scannedBytes += page.size - start }
    }

    private fun endOfLiteral(start: Int): Int {
        var index = start
        while (index < page.size &&
            !isBlank(page[index].toInt()) &&
            page[index].toInt().toChar() !in DELIMITERS
        ) {
            index++
        }
        return index
    }

    private fun isBlank(byte: Int): Boolean =
        byte == ' '.code || byte == '\n'.code || byte == '\r'.code || byte == '\t'.code

    private companion object {
        const val AFTER_VALUE = ",:]}"
        const val IN_PLACE_OF_NAME = "\",:]}"
        const val DELIMITERS = "\",:[]{}"
    }
}
