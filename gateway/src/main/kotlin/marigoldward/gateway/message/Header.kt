package marigoldward.gateway.message

/** One header field. Names are compared without regard to case; values are forwarded exactly as received. */
public data class Header(val name: String, val value: String)
