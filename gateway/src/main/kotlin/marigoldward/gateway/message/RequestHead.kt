package marigoldward.gateway.message

/**
 * The beginning of a request.
 *
 * @property target the path and query exactly as they came
 */
public data class RequestHead(val method: String, val target: String, val headers: Headers) {
    /** The path of [target], as it came. */
    val path: String get() = target.substringBefore('?')
}
