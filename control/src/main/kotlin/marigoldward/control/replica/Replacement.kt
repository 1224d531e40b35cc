package marigoldward.control.replica

import marigoldward.core.replication.MemberChange
import marigoldward.core.replication.Members

/**
 * Completes the replacement of a replica whose new incarnation is a learner: the old incarnation is removed, then the
 * new one is promoted. The next step follows from the members alone, so a new leader continues where another stopped.
 */
internal object Replacement {
    /** Returns the next step, or null if no replacement is in progress. */
    fun nextStepOrNull(members: Members): MemberChange? {
        val learner = members.learners.firstOrNull() ?: return null
        val oldIncarnation = members.voterOrNull(learner.name)
        return if (oldIncarnation != null) MemberChange.Remove(oldIncarnation) else MemberChange.Promote(learner)
    }
}
