package marigoldward.core.replication

/**
 * The time limits of replication.
 *
 * @property heartbeatMillis how often a leader shows that it lives, in milliseconds
 * @property electionTimeoutMillis the shortest silence after which a replica seeks votes, in milliseconds; the
 * longest is twice that
 */
public data class ReplicationTiming(val heartbeatMillis: Long, val electionTimeoutMillis: Long) {
    /** Creates timings. */
    public companion object {
        /** The timing of the programs. */
        public val DEFAULT: ReplicationTiming = ReplicationTiming(heartbeatMillis = 300, electionTimeoutMillis = 1_500)

        /** The timing where a request may wait about a second for a new leader; links take a few milliseconds. */
        public val PROMPT: ReplicationTiming = ReplicationTiming(heartbeatMillis = 200, electionTimeoutMillis = 800)
    }
}
