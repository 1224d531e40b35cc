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
    private var named: NamedLeader? = null

    private data class Announced(val isMember: Boolean, val peers: List<InstanceId>)

    private data class NamedLeader(
        val leader: InstanceId,
        val term: Long,
        val members: List<InstanceId>,
        val namedMillis: Long,
    )

    /** The members according to the reply that named the leader of the newest term. */
    val members: List<InstanceId> @Synchronized get() = named?.members.orEmpty()

    /** Returns the leader of the newest term that a recent reply has named, or null if none has. */
    @Synchronized
    fun leaderOrNull(nowMillis: Long): InstanceId? = named?.takeIf { isRecent(it, nowMillis) }?.leader

    /** Records that this instance, which last knew all committed entries [staleMillis] ago, asks [peers] to join. */
    @Synchronized
    fun recordAnnouncement(isMember: Boolean, staleMillis: Long, peers: List<InstanceId>) {
        val next = Announced(isMember, peers)
        if (next == announced) return
        announced = next
        log.info("join_announced") {
            field("self", self)
            field("reason", if (isMember) "no_leader" else "no_member")
            field("stale_ms", staleMillis.takeIf { it < NEVER_KNOWN_MILLIS })
            field("peers", peers.joinToString(","))
        }
    }

    /** Records the [reply] of [sender], which has arrived at [nowMillis]. */
    @Synchronized
    fun recordReply(sender: InstanceId, reply: JoinReply, nowMillis: Long) {
        recordLeader(reply, nowMillis)
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

    private fun recordLeader(reply: JoinReply, nowMillis: Long) {
        val leader = reply.leader ?: return
        val isOutdated = named?.let { isRecent(it, nowMillis) && reply.term < it.term } ?: false
        if (!isOutdated) named = NamedLeader(leader, reply.term, reply.members, nowMillis)
    }

    private fun isRecent(known: NamedLeader, nowMillis: Long): Boolean =
        nowMillis - known.namedMillis < MAX_LEADER_AGE_MILLIS

    /** Forgets all replies, as this instance is a member that follows a leader. */
    @Synchronized
    fun clear() {
        if (announced != null) log.info("join_ended") { field("self", self) }
        announced = null
        replies = emptyMap()
        named = null
    }

    private companion object {
        /** The staleness of a replica that has never known all committed entries is this high or higher. */
        const val NEVER_KNOWN_MILLIS = 1_000_000_000L

        /** Several announcements, so that lost replies don't matter. */
        const val MAX_LEADER_AGE_MILLIS = 2_000L
        val log = EventLog.fromName("membership")
    }
}
