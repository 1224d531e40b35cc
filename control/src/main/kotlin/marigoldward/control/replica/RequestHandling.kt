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
 * Turns what reaches the replica's thread into replica events, and keeps the times of leases.
 *
 * @param planner decides about members; null if operators do
 * @param control the control state as of the newest entry that was applied
 */
internal class RequestHandling(
    private val pending: PendingRequests,
    private val planner: MembershipPlanner?,
    private val control: () -> ControlState,
) {
    private var leases = LeaseTable.forNewLeader(LeaseTiming.DEFAULT, MonotonicClock.nowMillis())
    private var joining: PersistentMap<InstanceId, JoiningReplica> = persistentMapOf()

    private data class JoiningReplica(val replica: ReplicaId, val dataCentre: DataCentre?, val heardMillis: Long)

    /** Returns the replica events that [event] asks for. */
    fun toReplicaEvents(event: ReplicaDutyEvent, view: ReplicaView, nowMillis: Long): List<RequestedStep> =
        when (event) {
            ReplicaDutyEvent.Tick -> tick(view, nowMillis)
            ReplicaDutyEvent.Leave -> listOf(RequestedStep(ReplicaEvent.Resign, null))
            is ReplicaDutyEvent.Received -> received(event, view)
            is ReplicaDutyEvent.Joining -> join(event, nowMillis)
            is ReplicaDutyEvent.Submit -> submit(event)
            is ReplicaDutyEvent.Replace -> replace(event, view, nowMillis)
            is ReplicaDutyEvent.Lease -> lease(event, view, nowMillis)
            is ReplicaDutyEvent.ReadEngines -> readEngines(event)
            is ReplicaDutyEvent.ConfirmLeading -> confirmLeading(event, view)
            is ReplicaDutyEvent.ReadRoutes -> readRoutes(event)
            is ReplicaDutyEvent.ReadStatus -> {
                event.answer(StatusReport.from(view, joiningNow(nowMillis), event.withBundle))
                emptyList()
            }
        }

    /** Counts a lease from when its grant was applied here. */
    fun applied(command: ControlCommand, outcome: ControlOutcome) {
        if (command !is ControlCommand.GrantLease || outcome !is ControlOutcome.LeaseGranted) return
        leases = leases.withLeaseStart(command.scope, outcome.token, MonotonicClock.nowMillis())
    }

    /** Counts every lease from now. */
    fun leadershipGained(nowMillis: Long) {
        leases = LeaseTable.forNewLeader(leases.timing, nowMillis)
    }

    private fun tick(view: ReplicaView, nowMillis: Long): List<RequestedStep> {
        val next = if (view.replica.isLeader) nextChangeOrNull(view, nowMillis) else null
        val tick = RequestedStep(ReplicaEvent.Tick, null)
        if (next == null) return listOf(tick)
        val number = pending.add(PendingRequest.OwnChange)
        return listOf(tick, RequestedStep(ReplicaEvent.ChangeMembers(number, next), number))
    }

    private fun nextChangeOrNull(view: ReplicaView, nowMillis: Long): MemberChange? {
        if (planner == null) return Replacement.nextStepOrNull(view.replica.log.members)
        if (view.replica.log.membersIndex > view.replica.commitIndex) return null
        val waiting = joining.values.filter { nowMillis - it.heardMillis < JOINING_TIMEOUT_MILLIS }
        val newcomers = waiting.mapNotNull { newcomer ->
            newcomer.dataCentre?.let { MembershipPlanner.JoiningReplica(newcomer.replica, it) }
        }
        val dataCentres = joining.values.mapNotNull { known -> known.dataCentre?.let { known.replica.name to it } }
        return planner.nextChangeOrNull(view.replica, newcomers, dataCentres.toMap(), nowMillis)
    }

    private fun received(event: ReplicaDutyEvent.Received, view: ReplicaView): List<RequestedStep> {
        if (event.to != view.replica.self) return emptyList()
        return listOf(RequestedStep(ReplicaEvent.Received(event.from, event.message), null))
    }

    private fun join(event: ReplicaDutyEvent.Joining, nowMillis: Long): List<RequestedStep> {
        joining = joining.put(event.replica.name, JoiningReplica(event.replica, event.dataCentre, nowMillis))
        return emptyList()
    }

    private fun submit(event: ReplicaDutyEvent.Submit): List<RequestedStep> {
        val number = pending.add(PendingRequest.Command(event.answer))
        return listOf(RequestedStep(ReplicaEvent.Propose(number, event.command), number))
    }

    private fun replace(event: ReplicaDutyEvent.Replace, view: ReplicaView, nowMillis: Long): List<RequestedStep> {
        if (!view.replica.isLeader) {
            event.answer(SubmitReply.NotLeader(view.replica.leaderOrNull?.name))
            return emptyList()
        }
        val newcomer = joiningNow(nowMillis).firstOrNull { it.name == event.name }
        if (newcomer == null) {
            event.answer(SubmitReply.Refused("replica \"${event.name}\" does not wait to join with an empty disk"))
            return emptyList()
        }
        val number = pending.add(PendingRequest.Command(event.answer))
        return listOf(RequestedStep(ReplicaEvent.ChangeMembers(number, MemberChange.AddLearner(newcomer)), number))
    }

    private fun lease(event: ReplicaDutyEvent.Lease, view: ReplicaView, nowMillis: Long): List<RequestedStep> {
        val request = event.request
        val record = view.control.leases[request.scope]
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
        val number = pending.add(PendingRequest.Grant(event.answer))
        val command = ControlCommand.GrantLease(request.scope, request.holder, token)
        return listOf(RequestedStep(ReplicaEvent.Propose(number, command), number))
    }

    private fun renew(event: ReplicaDutyEvent.Lease, token: FencingToken): List<RequestedStep> {
        val scope = event.request.scope
        val renewed: () -> LeaseReply = {
            val table = leases.renewedOrNull(scope, token, MonotonicClock.nowMillis())
            leases = table ?: leases
            if (table == null) LeaseReply.Taken(event.request.holder, 0) else LeaseReply.Granted(token)
        }
        return confirm(PendingRequest.Confirmation(renewed, { LeaseReply.Unavailable(it) }, event.answer))
    }

    private fun readEngines(event: ReplicaDutyEvent.ReadEngines): List<RequestedStep> {
        val read = { EnginesReply(control().engines, null) }
        return confirm(PendingRequest.Confirmation(read, { EnginesReply(null, it) }, event.answer))
    }

    private fun readRoutes(event: ReplicaDutyEvent.ReadRoutes): List<RequestedStep> {
        val read: () -> RoutesRead = { RoutesRead.Current(control().routes) }
        return confirm(PendingRequest.Confirmation(read, { RoutesRead.NotLeader(it) }, event.answer))
    }

    private fun confirmLeading(event: ReplicaDutyEvent.ConfirmLeading, view: ReplicaView): List<RequestedStep> {
        val term: Long? = view.replica.hardState.term
        return confirm(PendingRequest.Confirmation({ term }, { null }, event.answer))
    }

    private fun confirm(request: PendingRequest): List<RequestedStep> {
        val number = pending.add(request)
        return listOf(RequestedStep(ReplicaEvent.ConfirmLeadership(number), number))
    }

    private fun joiningNow(nowMillis: Long): List<ReplicaId> =
        joining.values.filter { nowMillis - it.heardMillis < JOINING_TIMEOUT_MILLIS }.map { it.replica }

    private companion object {
        const val JOINING_TIMEOUT_MILLIS = 5_000L
    }
}
