package marigoldward.core.replication

/**
 * The whole state of one replica.
 *
 * @property commitIndex every entry up to here can no longer be lost
 * @property electionDeadlineMillis when to seek votes unless a leader is heard before, in milliseconds
 * @property leaderHeardMillis when a leader was last heard, in milliseconds
 * @property currentMillis when this replica last had all that its leader had committed, in milliseconds
 * @property random the state of the generator that spreads election timeouts
 */
public data class ReplicaState(
    val self: ReplicaId,
    val timing: ReplicationTiming,
    val hardState: HardState,
    val log: ReplicaLog,
    val role: ReplicaRole,
    val commitIndex: Long,
    val electionDeadlineMillis: Long,
    val leaderHeardMillis: Long,
    val currentMillis: Long,
    val random: Long,
) {
    /** Whether this replica leads. */
    val isLeader: Boolean get() = role is ReplicaRole.Leader

    /** The replica that leads as far as is known here, or null. */
    val leaderOrNull: ReplicaId?
        get() =
            when (role) {
                is ReplicaRole.Leader -> self
                is ReplicaRole.Follower -> role.leader
                is ReplicaRole.Candidate -> null
            }

    /** Whether this replica may vote and lead. */
    val isVoter: Boolean get() = self in log.members.voters

    /**
     * Returns for how long at most this replica may have missed committed entries at [nowMillis], in milliseconds.
     *
     * A leader counts from when a quorum last answered it, a follower from when it last had all that its leader had.
     */
    public fun staleMillis(nowMillis: Long): Long {
        val leader = role as? ReplicaRole.Leader ?: return nowMillis - currentMillis
        val hasCommitted = log.termAtOrNull(commitIndex) == hardState.term
        if (!hasCommitted) return nowMillis - currentMillis
        val heard = log.members.voters.map { if (it == self) nowMillis else leader.progress[it]?.heardMillis ?: 0 }
        return nowMillis - heard.sortedDescending()[log.members.quorumSize - 1]
    }

    /** Creates states. */
    public companion object {
        private const val LONG_AGO_MILLIS = -1_000_000_000L

        /** Returns the state of a replica that starts with what its disk holds; [seed] spreads its timeouts. */
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
                    commitIndex = log.start.index,
                    electionDeadlineMillis = 0,
                    leaderHeardMillis = LONG_AGO_MILLIS,
                    currentMillis = LONG_AGO_MILLIS,
                    random = seed,
                )
            return state.withElectionDeadline(nowMillis)
        }
    }
}

/** Returns the state with a new, randomly spread election deadline. */
internal fun ReplicaState.withElectionDeadline(nowMillis: Long): ReplicaState {
    val next = nextRandom(random)
    val spread = Math.floorMod(next, timing.electionTimeoutMillis)
    return copy(electionDeadlineMillis = nowMillis + timing.electionTimeoutMillis + spread, random = next)
}

private fun nextRandom(state: Long): Long {
    val mixed = state * MULTIPLIER + INCREMENT
    return mixed xor (mixed ushr SHIFT_BITS)
}

private const val MULTIPLIER = 6_364_136_223_846_793_005L
private const val INCREMENT = 1_442_695_040_888_963_407L
private const val SHIFT_BITS = 33
