package marigoldward.gateway.message

/**
 * The request line and the headers of an HTTP request.
 *
 * @property target the path and query exactly as received
 */
public data class RequestHead(val method: String, val target: String, val headers: Headers) {
    /** The path of [target], without the query, exactly as received. */
    val path: String get() = target.substringBefore('?')
}
