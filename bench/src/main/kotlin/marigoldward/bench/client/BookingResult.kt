package marigoldward.bench.client

/**
 * The result of one booking request.
 *
 * @property statusCode the HTTP status, or 0 if the connection failed
 * @property outcome the machine-readable outcome if the entry answered instead of the service, otherwise null
 * @property text the body of the answer, or the message of the connection failure
 */
public data class BookingResult(val statusCode: Int, val outcome: String?, val text: String)
