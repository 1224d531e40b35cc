package marigoldward.gateway.message

/** The beginning of an answer. */
public data class AnswerHead(val status: Int, val headers: Headers)
