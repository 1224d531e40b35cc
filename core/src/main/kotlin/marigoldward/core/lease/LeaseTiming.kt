package marigoldward.core.lease

/**
 * The validity period of leases.
 *
 * @property durationMillis the nominal validity of a lease after its grant or renewal, in milliseconds
 * @property marginMillis how much earlier the holder considers the lease expired, and how much later the grantor does,
 * in milliseconds; makes up for clocks that run at different speeds
 */
public data class LeaseTiming(val durationMillis: Long, val marginMillis: Long) {
    /** Holds the default timing. */
    public companion object {
        /** The timing that both the holders and the grantor of leases use. */
        public val DEFAULT: LeaseTiming = LeaseTiming(durationMillis = 5_000, marginMillis = 500)
    }
}
