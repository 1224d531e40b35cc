package marigoldward.support.http

/**
 * The grammar of the lines of HTTP/1.1 messages, as RFC 9110 (sections 5.1, 5.5 and 5.6.2) and RFC 9112 (sections 4, 5 and
 * 7.1) define it. Lines are given without their ends, with a character for each byte.
 */
public object HttpGrammar {
    private const val TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~"
    private const val DELETE = '\u007f'
    private const val MAX_BYTE = '\u00ff'
    private val STATUS_LINE = Regex("HTTP/1\\.[0-9] [0-9]{3}( .*)?", RegexOption.DOT_MATCHES_ALL)
    private val CHUNK_LINE = Regex("([0-9A-Fa-f]+)[ \t]*(;.*)?", RegexOption.DOT_MATCHES_ALL)
    private const val HEXADECIMAL = 16

    /** Whether [text] is a token, as the names of fields are. */
    public fun isToken(text: String): Boolean = text.isNotEmpty() && text.all(::isTokenCharacter)

    /** Whether [text] has only characters that may stand in the value of a field: visible ones, spaces and tabs. */
    public fun isFieldContent(text: String): Boolean = text.all { it == '\t' || it in ' '..MAX_BYTE && it != DELETE }

    /** Returns what is wrong with the field line [line], without a part of it, or null if it is well-formed. */
    public fun fieldLineProblemOrNull(line: String): String? {
        val colonIndex = line.indexOf(':')
        return when {
            colonIndex < 0 -> "a field line has no colon"
            !isToken(line.substring(0, colonIndex)) -> "the name of a field is not a token"
            !isFieldContent(line) -> "the value of a field has a control character"
            else -> null
        }
    }

    /** Returns what is wrong with the status line [line], without a part of it, or null if it is well-formed. */
    public fun statusLineProblemOrNull(line: String): String? =
        if (STATUS_LINE.matches(line) && isFieldContent(line)) null else "the status line is malformed"

    /** Returns what is wrong with the request line [line], without a part of it, or null if it has no control character. */
    public fun requestLineProblemOrNull(line: String): String? =
        if (isFieldContent(line)) null else "the request line has a control character"

    /** Returns the size that the line [line] before a chunk gives, in bytes, or null if it is malformed. */
    public fun chunkSizeOrNull(line: String): Long? {
        if (!isFieldContent(line)) return null
        return CHUNK_LINE.matchEntire(line)?.groupValues?.get(1)?.toLongOrNull(HEXADECIMAL)
    }

    private fun isTokenCharacter(char: Char): Boolean =
        char in 'a'..'z' || char in 'A'..'Z' || char in '0'..'9' || char in TOKEN_SYMBOLS
}
