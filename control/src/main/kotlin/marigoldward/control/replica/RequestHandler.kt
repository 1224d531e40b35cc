package marigoldward.control.replica

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import marigoldward.core.control.ControlCommand
import marigoldward.core.control.ControlOutcome
import marigoldward.core.control.ControlState
import marigoldward.core.control.LeaseRecord
import marigoldward.core.lease.LeaseTable
import marigoldward.core.lease.LeaseTiming
import marigoldward.core.model.DataCentre
import marigoldward.core.model.FencingToken
import marigoldward.core.model.InstanceId
import marigoldward.core.replication.MemberChange
import marigoldward.core.replication.MembershipPlanner
import marigoldward.core.replication.ReplicaEvent
import marigoldward.core.replication.ReplicaId
import marigoldward.support.time.MonotonicClock
import marigoldward.wire.control.EnginesReply
import marigoldward.wire.control.LeaseReply
import marigoldward.wire.control.SubmitReply

/**
 * Turns the events of the replica's thread into events of the replica, and keeps the expiry times of leases.
 *
 * @param planner plans the changes of members, or null if operators request them
 * @param membershipLog logs the changes of members and the replicas that wait to join
 * @param controlState returns the control state as of the newest applied entry
 */
internal class RequestHandler(
    private val pending: PendingRequests,
    private val planner: MembershipPlanner?,
    private val membershipLog: MembershipLog,
    private val controlState: () -> ControlState,
) {
    private var leases = LeaseTable.forNewLeader(LeaseTiming.DEFAULT, MonotonicClock.nowMillis())
    private var announcements: PersistentMap<InstanceId, Announcement> = persistentMapOf()

    private data class Announcement(val replica: ReplicaId, val dataCentre: DataCentre?, val announcedMillis: Long)

    /** Returns the events of the replica that [event] leads to. A request that needs none is answered at once. */
    fun toReplicaEvents(event: ReplicaDutyEvent, view: ReplicaView, nowMillis: Long): List<RequestedEvent> =
        when (event) {
            ReplicaDutyEvent.Tick -> tick(view, nowMillis)
            ReplicaDutyEvent.Resign -> listOf(RequestedEvent(ReplicaEvent.Resign, null))
            is ReplicaDutyEvent.Received -> onReceived(event, view)
            is ReplicaDutyEvent.JoinAnnounced -> onJoinAnnounced(event, view, nowMillis)
            is ReplicaDutyEvent.Submit -> submit(event)
            is ReplicaDutyEvent.Replace -> replace(event, view, nowMillis)
            is ReplicaDutyEvent.RequestLease -> requestLease(event, view, nowMillis)
            is ReplicaDutyEvent.ReadEngines -> readEngines(event)
            is ReplicaDutyEvent.ReadLeaderTerm -> readLeaderTerm(event, view)
            is ReplicaDutyEvent.ReadRoutes -> readRoutes(event)
            is ReplicaDutyEvent.ReadStatus -> {
                event.answer(StatusReport.from(view, joiningReplicas(nowMillis), event.withBundle))
                emptyList()
            }
        }

    /** Starts the duration of a lease when its grant is applied on this replica. */
    fun onApplied(command: ControlCommand, outcome: ControlOutcome) {
        if (command !is ControlCommand.GrantLease || outcome !is ControlOutcome.LeaseGranted) return
        leases = leases.withLeaseStart(command.scope, outcome.token, MonotonicClock.nowMillis())
    }

    /** Treats every lease as renewed at [nowMillis], which is later than any renewal by an earlier leader. */
    fun onLeadershipGained(nowMillis: Long) {
        leases = LeaseTable.forNewLeader(leases.timing, nowMillis)
    }

    private fun tick(view: ReplicaView, nowMillis: Long): List<RequestedEvent> {
        val next = if (view.replica.isLeader) nextChangeOrNull(view, nowMillis) else null
        val tick = RequestedEvent(ReplicaEvent.Tick, null)
        if (next == null) return listOf(tick)
        val decision = MembershipLog.Decision(next, view.replica, recentlyJoining(nowMillis), nowMillis)
        val requestId = pending.add(PendingRequest.AutomaticMemberChange(decision, membershipLog))
        return listOf(tick, RequestedEvent(ReplicaEvent.ChangeMembers(requestId, next), requestId))
    }

    private fun nextChangeOrNull(view: ReplicaView, nowMillis: Long): MemberChange? {
        if (planner == null) return Replacement.nextStepOrNull(view.replica.log.members)
        if (view.replica.log.membersIndex > view.replica.commitIndex) return null
        val dataCentres = announcements.values.mapNotNull { announcement ->
            announcement.dataCentre?.let { announcement.replica.name to it }
        }
        return planner.nextChangeOrNull(view.replica, recentlyJoining(nowMillis), dataCentres.toMap(), nowMillis)
    }

    private fun recentlyJoining(nowMillis: Long): List<MembershipPlanner.JoiningReplica> =
        announcements.values.filter { isRecent(it, nowMillis) }.mapNotNull { announcement ->
            announcement.dataCentre?.let { MembershipPlanner.JoiningReplica(announcement.replica, it) }
        }

    private fun onReceived(event: ReplicaDutyEvent.Received, view: ReplicaView): List<RequestedEvent> {
        if (event.to != view.replica.self) return emptyList()
        return listOf(RequestedEvent(ReplicaEvent.Received(event.from, event.message), null))
    }

    private fun onJoinAnnounced(
        event: ReplicaDutyEvent.JoinAnnounced,
        view: ReplicaView,
        nowMillis: Long,
    ): List<RequestedEvent> {
        val known = announcements[event.replica.name]
        if (known == null || known.replica != event.replica || !isRecent(known, nowMillis)) {
            membershipLog.onJoinReceived(view.replica, event.replica, event.dataCentre)
        }
        announcements = announcements.put(event.replica.name, Announcement(event.replica, event.dataCentre, nowMillis))
        return emptyList()
    }

    private fun submit(event: ReplicaDutyEvent.Submit): List<RequestedEvent> {
        val requestId = pending.add(PendingRequest.Command(event.answer))
        return listOf(RequestedEvent(ReplicaEvent.Propose(requestId, event.command), requestId))
    }

    private fun replace(event: ReplicaDutyEvent.Replace, view: ReplicaView, nowMillis: Long): List<RequestedEvent> {
        if (!view.replica.isLeader) {
            event.answer(SubmitReply.NotLeader(view.replica.leaderOrNull?.name))
            return emptyList()
        }
        val newIncarnation = joiningReplicas(nowMillis).firstOrNull { it.name == event.name }
        if (newIncarnation == null) {
            event.answer(SubmitReply.Refused("replica \"${event.name}\" does not wait to join with an empty disk"))
            return emptyList()
        }
        val requestId = pending.add(PendingRequest.Command(event.answer))
        return listOf(
            RequestedEvent(ReplicaEvent.ChangeMembers(requestId, MemberChange.AddLearner(newIncarnation)), requestId),
        )
    }

    private fun requestLease(
        event: ReplicaDutyEvent.RequestLease,
        view: ReplicaView,
        nowMillis: Long,
    ): List<RequestedEvent> {
        val request = event.request
        val record = view.controlState.leases[request.scope]
        val heldToken = request.token
        if (heldToken != null && record == LeaseRecord(request.holder, heldToken)) return renew(event, heldToken)
        if (!view.replica.isLeader) {
            event.answer(LeaseReply.Unavailable(view.replica.leaderOrNull?.name))
            return emptyList()
        }
        val token = record?.token ?: FencingToken.NONE
        val remainingMillis = if (record == null) 0 else leases.remainingMillis(request.scope, token, nowMillis)
        if (record != null && remainingMillis > 0) {
            event.answer(LeaseReply.Taken(record.holder, remainingMillis))
            return emptyList()
        }
        val requestId = pending.add(PendingRequest.LeaseGrant(event.answer))
        val command = ControlCommand.GrantLease(request.scope, request.holder, token)
        return listOf(RequestedEvent(ReplicaEvent.Propose(requestId, command), requestId))
    }

    private fun renew(event: ReplicaDutyEvent.RequestLease, token: FencingToken): List<RequestedEvent> {
        val scope = event.request.scope
        val renewal: () -> LeaseReply = {
            val table = leases.renewedOrNull(scope, token, MonotonicClock.nowMillis())
            leases = table ?: leases
            if (table == null) LeaseReply.Taken(event.request.holder, 0) else LeaseReply.Granted(token)
        }
        return checkLeadership(PendingRequest.LeadershipCheck(renewal, { LeaseReply.Unavailable(it) }, event.answer))
    }

    private fun readEngines(event: ReplicaDutyEvent.ReadEngines): List<RequestedEvent> {
        val read = { EnginesReply(controlState().engines, null) }
        return checkLeadership(PendingRequest.LeadershipCheck(read, { EnginesReply(null, it) }, event.answer))
    }

    private fun readRoutes(event: ReplicaDutyEvent.ReadRoutes): List<RequestedEvent> {
        val read: () -> RoutesReply = { RoutesReply.Current(controlState().routes) }
        return checkLeadership(PendingRequest.LeadershipCheck(read, { RoutesReply.NotLeader(it) }, event.answer))
    }

    private fun readLeaderTerm(event: ReplicaDutyEvent.ReadLeaderTerm, view: ReplicaView): List<RequestedEvent> {
        val term: Long? = view.replica.hardState.term
        return checkLeadership(PendingRequest.LeadershipCheck({ term }, { null }, event.answer))
    }

    private fun checkLeadership(request: PendingRequest): List<RequestedEvent> {
        val requestId = pending.add(request)
        return listOf(RequestedEvent(ReplicaEvent.ConfirmLeadership(requestId), requestId))
    }

    private fun joiningReplicas(nowMillis: Long): List<ReplicaId> =
        announcements.values.filter { isRecent(it, nowMillis) }.map { it.replica }

    private fun isRecent(announcement: Announcement, nowMillis: Long): Boolean =
        nowMillis - announcement.announcedMillis < ANNOUNCEMENT_TIMEOUT_MILLIS

    private companion object {
        const val ANNOUNCEMENT_TIMEOUT_MILLIS = 5_000L
    }
}
