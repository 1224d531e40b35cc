package marigoldward.control.cluster

import marigoldward.core.model.InstanceId
import marigoldward.support.log.EventLog
import marigoldward.wire.peer.JoinReply

/**
 * What the other instances have replied to the announcements of [self], which is no member or has lost its leader.
 * Logs each announcement that differs from the one before, and each reply that differs from the sender's last one.
 *
 * Thread-safe.
 */
internal class JoinReplies(private val self: InstanceId) {
    private var announced: Announced? = null
    private var replies = emptyMap<InstanceId, JoinReply>()
    private var lastWithLeader: JoinReply? = null

    private data class Announced(val isMember: Boolean, val peers: List<InstanceId>)

    /** The leader in the last reply that named one, or null. */
    val leaderOrNull: InstanceId? @Synchronized get() = lastWithLeader?.leader

    /** The members in the last reply that named a leader. */
    val members: List<InstanceId> @Synchronized get() = lastWithLeader?.members.orEmpty()

    /** Records that this instance, which last knew all committed entries [staleMillis] ago, asks [peers] to join. */
    @Synchronized
    fun recordAnnouncement(isMember: Boolean, staleMillis: Long, peers: List<InstanceId>) {
        val next = Announced(isMember, peers)
        if (next == announced) return
        announced = next
        log.info("join_announced") {
            field("self", self)
            field("reason", if (isMember) "no_leader" else "no_member")
            field("stale_ms", staleMillis)
            field("peers", peers.joinToString(","))
        }
    }

    /** Records the [reply] of [sender]. */
    @Synchronized
    fun recordReply(sender: InstanceId, reply: JoinReply) {
        if (reply.leader != null) lastWithLeader = reply
        if (replies[sender] == reply) return
        replies = replies + (sender to reply)
        log.info("join_answered") {
            field("self", self)
            field("sender", sender)
            field("accepted", reply.isAccepted)
            field("leader", reply.leader)
            field("members", reply.members.joinToString(","))
            field("self_listed", self in reply.members)
        }
    }

    /** Forgets all replies, as this instance is a member that follows a leader. */
    @Synchronized
    fun clear() {
        if (announced != null) log.info("join_ended") { field("self", self) }
        announced = null
        replies = emptyMap()
        lastWithLeader = null
    }

    private companion object {
        val log = EventLog.fromName("membership")
    }
}
