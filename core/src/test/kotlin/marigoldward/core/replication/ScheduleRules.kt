package marigoldward.core.replication

/**
 * What may happen in a random schedule.
 *
 * @property automatic whether members change without an operator, and replicas may be gone for good
 * @property keepsNameAfterWipe naive: a wiped replica comes back under its old identity and votes
 * @property losesUnsynced naive: a restart loses entries that were acknowledged
 * @property forgetsLeases naive: a new leader takes every lease for expired
 * @property renewsExpired naive: a renewal is answered without another look at the clock
 */
internal data class ScheduleRules(
    val steps: Int = 1_500,
    val wipes: Boolean = true,
    val automatic: Boolean = false,
    val keepsNameAfterWipe: Boolean = false,
    val losesUnsynced: Boolean = false,
    val forgetsLeases: Boolean = false,
    val renewsExpired: Boolean = false,
)
