package marigoldward.gateway.message

/** The header fields of a message, in the order in which they were received. */
public data class Headers(val entries: List<Header>) {
    /** Returns the value of the first header called [name], or null. */
    public fun first(name: String): String? = entries.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value

    /** Returns the values of all headers called [name]. */
    public fun all(name: String): List<String> =
        entries.filter { it.name.equals(name, ignoreCase = true) }.map { it.value }

    /** Whether there is a header called [name]. */
    public fun has(name: String): Boolean = first(name) != null

    /** Whether a header called [name] has [token] in its comma-separated list. */
    public fun hasToken(name: String, token: String): Boolean = entries.any { header ->
        header.name.equals(name, ignoreCase = true) && tokens(header).any { it.equals(token, ignoreCase = true) }
    }

    /** Returns the headers without those whose name, in lower case, is in [names]. */
    public fun without(names: Set<String>): Headers = Headers(entries.filter { it.name.lowercase() !in names })

    /** Returns the headers with [name] and [value] at the end. */
    public fun plus(name: String, value: String): Headers = Headers(entries + Header(name, value))

    /** Returns the end-to-end headers: all but the hop-by-hop ones and those named in `Connection`. */
    public fun endToEnd(): Headers {
        val connectionTokens = entries.filter { it.name.equals("Connection", ignoreCase = true) }.flatMap(::tokens)
        return without(HOP_BY_HOP + connectionTokens.map { it.lowercase() })
    }

    private fun tokens(header: Header): List<String> =
        header.value.split(',').map { it.trim() }.filter { it.isNotEmpty() }

    /** Creates headers. */
    public companion object {
        /** The names of the hop-by-hop headers (RFC 9110, section 7.6.1), in lower case. */
        private val HOP_BY_HOP =
            setOf(
                "connection",
                "keep-alive",
                "proxy-authenticate",
                "proxy-authorization",
                "proxy-connection",
                "te",
                "trailer",
                "transfer-encoding",
                "upgrade",
            )

        /** No headers. */
        public val EMPTY: Headers = Headers(emptyList())

        /** Returns headers with the given names and values. */
        public fun of(vararg pairs: Pair<String, String>): Headers = Headers(pairs.map { Header(it.first, it.second) })
    }
}
