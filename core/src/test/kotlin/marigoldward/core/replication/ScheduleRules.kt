package marigoldward.core.replication

/**
 * The faults of a random schedule.
 *
 * The properties marked as bugs make the replicas misbehave. They show that the checks of the schedule detect the bug.
 *
 * @property steps the number of random steps
 * @property wipesDisks whether replicas lose their disks
 * @property usesMembershipPlanner whether the leader changes the members through a [MembershipPlanner] rather than an
 * operator's replacements; replicas may then also disappear permanently
 * @property overlapsLosses whether there is a spare replica, and replicas are frozen or down for a time, also several at
 * once, beside at most one lost disk; needs [usesMembershipPlanner]
 * @property keepsIncarnationAfterWipe bug: a replica that lost its disk rejoins with its old identity and votes
 * @property losesLastEntryOnRestart bug: a replica loses its last entry on a restart, even if it was acknowledged
 * @property expiresLeasesOnElection bug: a new leader considers all leases expired
 * @property renewsExpiredLeases bug: a lease is renewed without a check that it hasn't expired in the meantime
 * @property readsWithoutQuorum bug: a leader answers reads without asking the others whether it still leads
 */
internal data class ScheduleRules(
    val steps: Int = 1_500,
    val wipesDisks: Boolean = true,
    val usesMembershipPlanner: Boolean = false,
    val overlapsLosses: Boolean = false,
    val keepsIncarnationAfterWipe: Boolean = false,
    val losesLastEntryOnRestart: Boolean = false,
    val expiresLeasesOnElection: Boolean = false,
    val renewsExpiredLeases: Boolean = false,
    val readsWithoutQuorum: Boolean = false,
)
