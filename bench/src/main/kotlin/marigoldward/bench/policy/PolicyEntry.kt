package marigoldward.bench.policy

import marigoldward.core.model.EngineRole
import marigoldward.core.model.InstanceId
import marigoldward.core.model.RequestId
import marigoldward.core.serving.AttemptResult
import marigoldward.core.serving.Route
import marigoldward.core.serving.Serving
import marigoldward.core.serving.ServingAction
import marigoldward.core.serving.ServingEvent
import marigoldward.core.serving.ServingState

/** An entry of a simulation. */
internal sealed interface PolicyEntry {
    /** Handles the arrival of [request]. */
    fun onRequest(request: SimulatedRequest)

    /** Reads the load reports of all engines; they take effect after [REPORT_LAG_MILLIS]. */
    fun collectReports()

    /** Handles the periodic timer. */
    fun onTick()

    /** An entry that routes requests by the serving decisions of this project. */
    class ServingEntry(
        self: InstanceId,
        entries: List<InstanceId>,
        workload: Workload,
        private val engines: List<SimulatedEngine>,
        private val clock: VirtualClock,
        private val onDispatch: (SimulatedRequest, Long) -> Unit,
        seed: Long,
    ) : PolicyEntry {
        private val byId = engines.associateBy { it.info.id }
        private val requests = HashMap<RequestId, SimulatedRequest>()
        private var state = ServingState.create(self, engines.first().info.dataCentre, workload.configuration, seed)

        init {
            handle(ServingEvent.UpstreamsListed(engines.map { it.info }))
            handle(ServingEvent.EntriesChanged(entries))
        }

        override fun onRequest(request: SimulatedRequest) {
            requests[request.spec.id] = request
            handle(ServingEvent.RequestArrived(request.spec))
        }

        override fun collectReports() {
            val events = engines.map { ServingEvent.LoadReported(it.info.id, it.report()) }
            clock.schedule(REPORT_LAG_MILLIS) { events.forEach(::handle) }
        }

        override fun onTick() = handle(ServingEvent.Tick)

        private fun handle(event: ServingEvent) {
            val step = Serving.step(state, event, clock.nowWholeMillis)
            state = step.state
            step.actions.forEach(::execute)
        }

        private fun execute(action: ServingAction) {
            when (action) {
                is ServingAction.Refuse -> requests.remove(action.id)?.isRefused = true
                is ServingAction.Quarantine -> Unit
                is ServingAction.Dispatch -> dispatch(action, requests.getValue(action.id))
            }
        }

        private fun dispatch(action: ServingAction.Dispatch, request: SimulatedRequest) {
            if (action.attempt == 1) onDispatch(request, action.prefillTokens)
            val prefillEngine = when (val route = action.route) {
                is Route.Single -> byId.getValue(route.upstream)
                is Route.Split -> byId.getValue(route.prefill)
            }
            val decodeEngine = byId.getValue(action.route.answeringUpstream)
            if (!prefillEngine.isAccepting || !decodeEngine.isAccepting) {
                val result = AttemptResult.NotRun(isUpstreamFault = false)
                clock.schedule(HOP_MILLIS) { handle(ServingEvent.AttemptFinished(action.id, action.attempt, result)) }
                return
            }
            runOn(prefillEngine, decodeEngine, request, clock) { isPrefilled ->
                val event = if (isPrefilled) {
                    ServingEvent.AttemptPrefilled(action.id, action.attempt)
                } else {
                    ServingEvent.AttemptFinished(action.id, action.attempt, AttemptResult.Done)
                }
                handle(event)
            }
        }
    }

    /** An entry that forwards each request on arrival, without queueing or priorities. */
    class ForwardingEntry(
        private val engines: List<SimulatedEngine>,
        private val isRoundRobin: Boolean,
        private val clock: VirtualClock,
    ) : PolicyEntry {
        private var reportsByEngine = engines.associateWith { it.report() }
        private var requestCount = 0

        override fun onRequest(request: SimulatedRequest) {
            val prefillEngines = engines.filter { it.role != EngineRole.DECODE }
            val decodeEngines = engines.filter { it.role != EngineRole.PREFILL }
            runOn(pick(prefillEngines), pick(decodeEngines), request, clock) {}
            requestCount++
        }

        override fun collectReports() {
            val reports = engines.associateWith { it.report() }
            clock.schedule(REPORT_LAG_MILLIS) { reportsByEngine = reports }
        }

        override fun onTick() = Unit

        private fun pick(candidates: List<SimulatedEngine>): SimulatedEngine =
            if (isRoundRobin) candidates[requestCount % candidates.size] else candidates.minBy { loadOf(it) }

        private fun loadOf(engine: SimulatedEngine): Long {
            val report = reportsByEngine.getValue(engine)
            return report.prefillTokens + report.streams * PREFILL_TOKENS_PER_STREAM
        }

        private companion object {
            /** The prefill work that counts as much as one stream. */
            const val PREFILL_TOKENS_PER_STREAM = 1_000L
        }
    }

    companion object {
        /** The age of load reports when entries receive them. */
        const val REPORT_LAG_MILLIS = 200.0

        /** The time of a message between an entry and an engine. */
        const val HOP_MILLIS = 1.0

        /** The time of a KV cache transfer between two engines. */
        private const val TRANSFER_MILLIS = 5.0

        /**
         * Runs [request] on [prefillEngine] and then on [decodeEngine], which may be the same.
         *
         * [onStageEnd] is called with true after the prefill stage and with false after the decode stage.
         */
        fun runOn(
            prefillEngine: SimulatedEngine,
            decodeEngine: SimulatedEngine,
            request: SimulatedRequest,
            clock: VirtualClock,
            onStageEnd: (isPrefilled: Boolean) -> Unit,
        ) {
            clock.schedule(HOP_MILLIS) {
                prefillEngine.prefill(request) {
                    onStageEnd(true)
                    clock.schedule(if (prefillEngine === decodeEngine) 0.0 else TRANSFER_MILLIS) {
                        decodeEngine.decode(request) { onStageEnd(false) }
                    }
                }
            }
        }
    }
}
