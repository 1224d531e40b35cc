package marigoldward.gateway.caller

import marigoldward.gateway.message.RequestHead

/** What makes a request ambiguous or unfit to be passed on. */
internal object RequestCheck {
    private val VISIBLE = '!'..'~'

    /** Returns why [head] is refused, or null if it is not. */
    fun problemOrNull(head: RequestHead): String? {
        val encodings = head.headers.entries.filter { it.name.equals("Transfer-Encoding", ignoreCase = true) }
        val hosts = head.headers.entries.count { it.name.equals("Host", ignoreCase = true) }
        return when {
            !head.target.startsWith("/") -> "the target is not a path"
            head.target.any { it !in VISIBLE } -> "the target has a character that must be escaped"
            encodings.any {
                !it.value.trim().equals("chunked", ignoreCase = true)
            } -> "the body has an unknown encoding"
            encodings.size > 1 -> "the body's encoding stands twice"
            encodings.isNotEmpty() && head.headers.has("Content-Length") -> "the request has both a length and chunks"
            hosts != 1 -> "the request does not name one host"
            else -> null
        }
    }
}
