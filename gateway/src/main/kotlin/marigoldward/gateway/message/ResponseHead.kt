package marigoldward.gateway.message

/** The status and the headers of an HTTP response. */
public data class ResponseHead(val status: Int, val headers: Headers)
