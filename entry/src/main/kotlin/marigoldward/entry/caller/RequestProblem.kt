package marigoldward.entry.caller

/**
 * The reason why a caller's request is not valid.
 *
 * @property statusCode the HTTP status of the response
 * @property field the name of the header, of the JSON field or of another part that is not valid
 */
internal data class RequestProblem(val statusCode: Int, val field: String, val message: String)
