package marigoldward.control.stages

import marigoldward.control.replica.LeaderTerm
import marigoldward.core.Outcome
import marigoldward.core.dispatch.DuplicateEntries
import marigoldward.core.dispatch.EngineStatus
import marigoldward.core.dispatch.LeavingUpstreams
import marigoldward.core.dispatch.ListedUpstream
import marigoldward.core.dispatch.StageChange
import marigoldward.core.dispatch.StagePlanner
import marigoldward.core.model.FencingToken
import marigoldward.core.model.InstanceId
import marigoldward.core.model.PoolName
import marigoldward.core.model.UpstreamId
import marigoldward.support.directory.DirectoryReading
import marigoldward.support.duty.Duty
import marigoldward.support.log.EventLog
import marigoldward.support.time.MonotonicClock

/**
 * Changes the stages of engines while this replica leads. One thread reads their status, plans and sends orders.
 *
 * The term is the fencing token. An order of the previous leader may still arrive for a while, so a new leader sends
 * none until its takeover delay is over. Right before each order, a quorum confirms that this replica still leads. An
 * engine that did not answer an order gets no other until that one can't arrive any more or the engine has started again,
 * as an order ends with the process that was to carry it out. An engine that is leaving, by the directory or by its own
 * answers, gets no order and isn't asked for its status.
 *
 * @param scaledServices returns the services whose engines are ordered and given up while they run
 * @param directory returns the list of upstreams, or null if there is none yet
 */
internal class StageDuty(
    private val self: InstanceId,
    private val engines: EngineControl,
    private val leaderTerm: LeaderTerm,
    private val scaledServices: () -> Set<PoolName> = { emptySet() },
    private val directory: () -> DirectoryReading?,
) : AutoCloseable {
    private data object Poll

    /** What is known of the engines of one service. Entries of other services may give the same ids. */
    private class ServiceState {
        var planner: StagePlanner = StagePlanner.INITIAL
        val duplicateEntries = DuplicateEntries()
        val leavingUpstreams = LeavingUpstreams()
        val starts = EngineStarts()
        val blockedUntilMillis = HashMap<UpstreamId, Long>()
        val unreachable = HashSet<UpstreamId>()
    }

    private val states = HashMap<PoolName, ServiceState>()

    /** The token of the term in which this replica was last found to lead. */
    private var token = FencingToken.NONE

    /** The last token of this replica that an engine has refused; no more orders are sent with it. */
    private var staleToken = FencingToken.NONE
    private val thread: Duty<Poll> = Duty.start("stages", RING_EVENTS) { pollEngines() }

    /** Requests one reading of the engines, and the orders that follow from it. */
    fun poll() {
        thread.offer(Poll)
    }

    override fun close() = thread.close()

    private fun pollEngines() {
        val current = leaderTerm.tokenOrNull() ?: return
        if (current != token) {
            token = current
            states.values.forEach { it.planner = StagePlanner.INITIAL }
        }
        if (token == staleToken) return
        val reading = directory() ?: return
        val scaled = scaledServices()
        val listed = reading.upstreams.filter { it.stage != null }.groupBy { it.service }
        (states.keys + listed.keys).forEach { service ->
            val state = states.getOrPut(service) { ServiceState() }
            val engines = state.duplicateEntries.resolve(listed[service].orEmpty()) { true }
            engines.forEach { state.recordStart(it, "list") }
            state.starts.retain(engines.mapTo(HashSet()) { it.id })
            val applied = state.leavingUpstreams.apply(engines, reading.readMillis)
            val staying = applied.upstreams.filterNot { it.isLeaving }
            if (staying.isNotEmpty()) state.plan(staying, service in scaled)
        }
    }

    private fun ServiceState.plan(serviceEngines: List<ListedUpstream>, isScaled: Boolean) {
        // One without an answer to its last order gets no other one now, so it is not chosen instead of one that would.
        val nowMillis = MonotonicClock.nowMillis()
        val candidates = if (isScaled) serviceEngines.filter { !isBlocked(it, nowMillis) } else serviceEngines
        val statuses = candidates.mapNotNull { statusOrNull(it) }
        val stayingCount = candidates.count { it !in leavingUpstreams }
        val step = planner.observe(statuses, stayingCount, MonotonicClock.nowMillis(), isScaled)
        planner = step.planner
        step.changes.forEach { order(it) }
    }

    /** Returns the status of [engine], or null if it could not be read or the engine is leaving. */
    private fun ServiceState.statusOrNull(engine: ListedUpstream): EngineStatus? {
        val reply = readStatus(engine)
        if (reply.isLeaving) recordLeaving(engine, "report")
        return when (val read = reply.result) {
            is Outcome.Success -> {
                if (unreachable.remove(engine.id)) log.info("engine_regained") { field("engine", engine.id) }
                read.value.startedUnixMillis?.let { recordStart(engine.copy(startedUnixMillis = it), "report") }
                read.value.takeUnless { reply.isLeaving }
            }
            is Outcome.Failure -> {
                if (unreachable.add(engine.id)) {
                    log.warn("engine_lost") {
                        field("engine", engine.id)
                        field("reason", read.error)
                    }
                }
                null
            }
        }
    }

    private fun ServiceState.recordStart(engine: ListedUpstream, source: String) {
        if (!starts.record(engine)) return
        val wasBlocked = blockedUntilMillis.remove(engine.id) != null
        unreachable.remove(engine.id)
        log.info("engine_restarted") {
            field("engine", engine.id)
            field("address", engine.address)
            field("started", engine.startedUnixMillis)
            field("source", source)
            field("had_open_order", wasBlocked)
        }
    }

    private fun ServiceState.recordLeaving(engine: ListedUpstream, source: String) {
        if (!leavingUpstreams.recordAnswer(engine, MonotonicClock.nowMillis())) return
        log.info("upstream_leaving") {
            field("upstream", engine.id)
            field("address", engine.address)
            field("source", source)
            field("age_ms", 0)
        }
    }

    private fun ServiceState.isBlocked(engine: ListedUpstream, nowMillis: Long): Boolean =
        nowMillis < (blockedUntilMillis[engine.id] ?: 0)

    private fun ServiceState.order(change: StageChange) {
        val status = change.status
        if (isBlocked(status.engine, MonotonicClock.nowMillis())) return
        if (leaderTerm.tokenOrNull() != token) return
        val order = EngineControl.StageOrder(status.engine, change.newStage, self, token, status.orderSequence)
        val reply = send(order)
        if (reply.isLeaving) recordLeaving(status.engine, "order")
        val result = reply.result
        recordResult(status, result)
        log.info("stage_ordered") {
            field("engine", status.engine.id)
            field("stage", change.newStage.name.lowercase())
            field("token", token)
            field("queue", "%.2f".format(planner.prefillQueue))
            field("load", "%.2f".format(planner.decodeLoad))
            field("result", result)
        }
    }

    /**
     * Reads the status of [engine]. Whatever its answer does to the reading, an [Error] of the virtual machine
     * included, is a failed reading, which must not end the process.
     */
    private fun readStatus(engine: ListedUpstream): EngineControl.Reply<Outcome<EngineStatus, String>> = try {
        engines.readStatus(engine)
    } catch (failure: Throwable) {
        EngineControl.Reply(Outcome.Failure(failure.toString()), isLeaving = false)
    }

    /** Sends [order]. A failure of any kind must not end the process; it doesn't tell whether the order was sent. */
    private fun send(order: EngineControl.StageOrder): EngineControl.Reply<EngineControl.OrderResult> = try {
        engines.send(order)
    } catch (failure: Throwable) {
        EngineControl.Reply(EngineControl.OrderResult.Unknown(failure.toString()), isLeaving = false)
    }

    private fun ServiceState.recordResult(status: EngineStatus, result: EngineControl.OrderResult) {
        when (result) {
            is EngineControl.OrderResult.Unknown ->
                blockedUntilMillis[status.engine.id] = MonotonicClock.nowMillis() + ORDER_LIFETIME_MILLIS
            EngineControl.OrderResult.StaleToken -> staleToken = token
            EngineControl.OrderResult.Accepted, is EngineControl.OrderResult.Refused -> Unit
        }
    }

    private companion object {
        const val RING_EVENTS = 2

        /** How long an order without an answer may still be carried out. */
        const val ORDER_LIFETIME_MILLIS = 15_000L
        val log = EventLog.fromName("stages")
    }
}
