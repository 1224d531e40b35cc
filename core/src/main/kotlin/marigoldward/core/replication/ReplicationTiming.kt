package marigoldward.core.replication

/**
 * The timing of heartbeats and elections.
 *
 * @property heartbeatMillis the interval between a leader's heartbeats, in milliseconds
 * @property electionTimeoutMillis the shortest time without contact to a leader after which a voter starts an
 * election, in milliseconds; each voter adds a random delay of less than the same length
 */
public data class ReplicationTiming(val heartbeatMillis: Long, val electionTimeoutMillis: Long) {
    /** Holds the predefined timings. */
    public companion object {
        /** The timing where no request depends on a fast failover. */
        public val DEFAULT: ReplicationTiming = ReplicationTiming(heartbeatMillis = 300, electionTimeoutMillis = 1_500)

        /**
         * The timing where requests can wait only about a second for a new leader. Suits networks with
         * latencies of a few milliseconds.
         */
        public val FAST_FAILOVER: ReplicationTiming =
            ReplicationTiming(heartbeatMillis = 200, electionTimeoutMillis = 800)
    }
}
