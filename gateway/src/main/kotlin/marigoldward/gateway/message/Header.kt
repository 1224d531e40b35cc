package marigoldward.gateway.message

/** One header line. Names are compared without regard to case; values are passed on as they came. */
public data class Header(val name: String, val value: String)
