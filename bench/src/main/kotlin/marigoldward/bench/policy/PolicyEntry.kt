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

/** One entry of a policy run. */
internal sealed interface PolicyEntry {
    fun arrived(request: ModelRequest)

    fun reports()

    fun tick()

    /** An entry that uses this project's serving decisions. */
    class Deciding(
        self: InstanceId,
        entries: List<InstanceId>,
        workload: Workload,
        private val engines: List<ModelEngine>,
        private val time: VirtualTime,
        private val onDispatch: (ModelRequest, Long) -> Unit,
        seed: Long,
    ) : PolicyEntry {
        private val byId = engines.associateBy { it.info.id }
        private val requests = HashMap<RequestId, ModelRequest>()
        private var state = ServingState.create(self, engines.first().info.dataCentre, workload.configuration, seed)

        init {
            handle(ServingEvent.UpstreamsListed(engines.map { it.info }))
            handle(ServingEvent.EntriesChanged(entries))
        }

        override fun arrived(request: ModelRequest) {
            requests[request.spec.id] = request
            handle(ServingEvent.RequestArrived(request.spec))
        }

        override fun reports() {
            val taken = engines.map { ServingEvent.LoadReported(it.info.id, it.report()) }
            time.after(REPORT_LAG_MILLIS) { taken.forEach(::handle) }
        }

        override fun tick() = handle(ServingEvent.Tick)

        private fun handle(event: ServingEvent) {
            val step = Serving.step(state, event, time.now)
            state = step.state
            step.actions.forEach(::carryOut)
        }

        private fun carryOut(action: ServingAction) {
            when (action) {
                is ServingAction.Refuse -> requests.remove(action.id)?.isRefused = true
                is ServingAction.Quarantine -> Unit
                is ServingAction.Dispatch -> dispatch(action, requests.getValue(action.id))
            }
        }

        private fun dispatch(action: ServingAction.Dispatch, request: ModelRequest) {
            if (action.attempt == 1) onDispatch(request, action.prefillTokens)
            val reader = when (val route = action.route) {
                is Route.Single -> byId.getValue(route.upstream)
                is Route.Split -> byId.getValue(route.prefill)
            }
            val decoder = byId.getValue(action.route.answeringUpstream)
            if (!reader.isAccepting || !decoder.isAccepting) {
                val declined = AttemptResult.NotRun(isUpstreamFault = false)
                time.after(HOP_MILLIS) { handle(ServingEvent.AttemptFinished(action.id, action.attempt, declined)) }
                return
            }
            serveOn(reader, decoder, request, time) { isRead ->
                val event = if (isRead) {
                    ServingEvent.AttemptPrefilled(action.id, action.attempt)
                } else {
                    ServingEvent.AttemptFinished(action.id, action.attempt, AttemptResult.Done)
                }
                handle(event)
            }
        }
    }

    /** An entry that sends every request on at once. */
    class Passing(
        private val engines: List<ModelEngine>,
        private val isRoundRobin: Boolean,
        private val time: VirtualTime,
    ) : PolicyEntry {
        private var reported = engines.associateWith { it.report() }
        private var next = 0

        override fun arrived(request: ModelRequest) {
            val readers = engines.filter { it.role != EngineRole.DECODE }
            val decoders = engines.filter { it.role != EngineRole.PREFILL }
            serveOn(pick(readers), pick(decoders), request, time) {}
            next++
        }

        override fun reports() {
            val taken = engines.associateWith { it.report() }
            time.after(REPORT_LAG_MILLIS) { reported = taken }
        }

        override fun tick() = Unit

        private fun pick(candidates: List<ModelEngine>): ModelEngine =
            if (isRoundRobin) candidates[next % candidates.size] else candidates.minBy { loadOf(it) }

        private fun loadOf(engine: ModelEngine): Long {
            val report = reported.getValue(engine)
            return report.prefillTokens + report.streams * STREAM_TOKENS
        }

        private companion object {
            const val STREAM_TOKENS = 1_000L
        }
    }

    companion object {
        const val REPORT_LAG_MILLIS = 200.0
        const val HOP_MILLIS = 1.0
        private const val TRANSFER_MILLIS = 5.0

        /** Reads the prompt on [reader] and answers on [decoder]; [onStage] gets true after reading, false at the end. */
        fun serveOn(
            reader: ModelEngine,
            decoder: ModelEngine,
            request: ModelRequest,
            time: VirtualTime,
            onStage: (Boolean) -> Unit,
        ) {
            time.after(HOP_MILLIS) {
                reader.read(request) {
                    onStage(true)
                    time.after(if (reader === decoder) 0.0 else TRANSFER_MILLIS) {
                        decoder.decode(request) { onStage(false) }
                    }
                }
            }
        }
    }
}
