package marigoldward.gateway.caller

import marigoldward.gateway.message.RequestHead

/** Checks for requests that are ambiguous or cannot be forwarded. */
internal object RequestCheck {
    private val VISIBLE_ASCII = '!'..'~'

    /** Returns why the request with [head] is rejected, or null if it is not. */
    fun problemOrNull(head: RequestHead): String? {
        val encodings = head.headers.entries.filter { it.name.equals("Transfer-Encoding", ignoreCase = true) }
        val hosts = head.headers.entries.count { it.name.equals("Host", ignoreCase = true) }
        return when {
            !head.target.startsWith("/") -> "the request target is not an absolute path"
            head.target.any { it !in VISIBLE_ASCII } ->
                "the request target has a character that must be percent-encoded"
            encodings.any { !it.value.trim().equals("chunked", ignoreCase = true) } ->
                "the Transfer-Encoding is not chunked"
            encodings.size > 1 -> "there is more than one Transfer-Encoding header"
            encodings.isNotEmpty() && head.headers.has("Content-Length") ->
                "the request has both Content-Length and Transfer-Encoding"
            hosts != 1 -> "the request does not have exactly one Host header"
            else -> null
        }
    }
}
