package marigoldward.gateway.upstream

/** Limits of what a gateway keeps of an upstream's response in memory. */
internal object ResponseLimits {
    /** The limit of a body that is forwarded when it is complete: that of callers' bodies by default. */
    const val MAX_BODY_BYTES: Int = 4 * 1024 * 1024

    /** The limit of one event of a stream. */
    const val MAX_EVENT_BYTES: Int = 1024 * 1024
}
