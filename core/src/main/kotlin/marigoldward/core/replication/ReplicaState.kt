package marigoldward.core.replication

/**
 * The complete state of a replica. All times are in milliseconds of monotonic time.
 *
 * @property commitIndex the index of the last entry that is known to be committed
 * @property electionDeadlineMillis when to start an election, or to forget the leader if this replica is no voter, unless
 * a leader makes contact before
 * @property lastLeaderContactMillis when the last message of a leader arrived
 * @property caughtUpMillis when this replica last knew all entries that its leader had committed
 * @property randomState the state of the random generator for election timeouts
 */
public data class ReplicaState(
    val self: ReplicaId,
    val timing: ReplicationTiming,
    val hardState: HardState,
    val log: ReplicaLog,
    val role: ReplicaRole,
    val commitIndex: Long,
    val electionDeadlineMillis: Long,
    val lastLeaderContactMillis: Long,
    val caughtUpMillis: Long,
    val randomState: Long,
) {
    /** Whether this replica is the leader of its term. */
    val isLeader: Boolean get() = role is ReplicaRole.Leader

    /** The leader that this replica knows of, or null; one that is silent is forgotten after two election timeouts. */
    val leaderOrNull: ReplicaId?
        get() =
            when (role) {
                is ReplicaRole.Leader -> self
                is ReplicaRole.Follower -> role.leader
                is ReplicaRole.Candidate -> null
            }

    /** Whether this replica may vote and become the leader. */
    val isVoter: Boolean get() = self in log.members.voters

    /**
     * Returns an upper bound on the staleness of this replica's committed entries at [nowMillis], in milliseconds.
     *
     * For a leader that has committed an entry of its term, this is the time since a quorum last replied to it; for any
     * other replica, the time since it last knew all entries that its leader had committed.
     */
    public fun maxStalenessMillis(nowMillis: Long): Long {
        val leader = role as? ReplicaRole.Leader ?: return nowMillis - caughtUpMillis
        val hasCommitted = log.termAtOrNull(commitIndex) == hardState.term
        if (!hasCommitted) return nowMillis - caughtUpMillis
        val replyTimes =
            log.members.voters.map { if (it == self) nowMillis else leader.progress[it]?.lastReplyMillis ?: 0 }
        return nowMillis - replyTimes.sortedDescending()[log.members.quorumSize - 1]
    }

    /** Creates states. */
    public companion object {
        /** Stands for an event that has not occurred: a time long before any that the monotonic clock returns. */
        internal const val NEVER_MILLIS = -1_000_000_000L

        /**
         * Returns the state of a replica that starts with the persisted [hardState] and [log].
         *
         * @param seed the seed of the random generator for election timeouts; should differ between replicas
         */
        public fun fromDisk(
            self: ReplicaId,
            timing: ReplicationTiming,
            hardState: HardState,
            log: ReplicaLog,
            nowMillis: Long,
            seed: Long,
        ): ReplicaState {
            val state =
                ReplicaState(
                    self = self,
                    timing = timing,
                    hardState = hardState,
                    log = log,
                    role = ReplicaRole.Follower(null),
                    commitIndex = log.snapshotPoint.index,
                    electionDeadlineMillis = 0,
                    lastLeaderContactMillis = NEVER_MILLIS,
                    caughtUpMillis = NEVER_MILLIS,
                    randomState = seed,
                )
            return state.withElectionDeadline(nowMillis)
        }
    }
}

/** Returns the state with an election deadline of one to two election timeouts after [nowMillis]. */
internal fun ReplicaState.withElectionDeadline(nowMillis: Long): ReplicaState {
    val next = nextRandomState(randomState)
    val delayMillis = Math.floorMod(next, timing.electionTimeoutMillis)
    return copy(electionDeadlineMillis = nowMillis + timing.electionTimeoutMillis + delayMillis, randomState = next)
}

/** A linear congruential generator with the constants of Knuth's MMIX, whose high bits are mixed into the low ones. */
private fun nextRandomState(state: Long): Long {
    val next = state * LCG_MULTIPLIER + LCG_INCREMENT
    return next xor (next ushr LCG_SHIFT_BITS)
}

private const val LCG_MULTIPLIER = 6_364_136_223_846_793_005L
private const val LCG_INCREMENT = 1_442_695_040_888_963_407L
private const val LCG_SHIFT_BITS = 33
