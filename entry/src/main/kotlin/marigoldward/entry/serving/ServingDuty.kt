package marigoldward.entry.serving

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import marigoldward.core.model.DataCentre
import marigoldward.core.model.InstanceId
import marigoldward.core.model.RequestId
import marigoldward.core.model.UpstreamId
import marigoldward.core.serving.Refusal
import marigoldward.core.serving.Serving
import marigoldward.core.serving.ServingAction
import marigoldward.core.serving.ServingEvent
import marigoldward.core.serving.ServingState
import marigoldward.core.serving.UpstreamInfo
import marigoldward.support.duty.Duty
import marigoldward.support.time.MonotonicClock

/** Runs the pure serving decisions on one thread. */
internal class ServingDuty private constructor(
    private val self: InstanceId,
    private val dataCentre: DataCentre,
    private val decisions: DecisionLog,
    private val onConvict: (ServingAction.Quarantine) -> Unit,
) : AutoCloseable {
    private val duty: Duty<ServingDutyEvent> = Duty.start("serving", RING_EVENTS, ::handle)
    private var state: ServingState? = null
    private var channels: PersistentMap<RequestId, RequestChannel> = persistentMapOf()
    private var listed = emptyList<UpstreamInfo>()

    /** The upstreams as they were last listed. */
    @Volatile
    var upstreams: Map<UpstreamId, UpstreamInfo> = emptyMap()
        private set

    /** How many requests wait or are under way. */
    @Volatile
    var openRequests: Int = 0
        private set

    /** Hands [event] over; false if too much is waiting. */
    fun offer(event: ServingDutyEvent): Boolean = duty.offer(event)

    /** Hands [event] over and waits for room, for what must not be lost. */
    fun put(event: ServingDutyEvent) = duty.put(event)

    /** Hands a serving event over and waits for room. */
    fun put(event: ServingEvent) = duty.put(ServingDutyEvent.Happened(event))

    override fun close() = duty.close()

    private fun handle(events: List<ServingDutyEvent>) {
        events.forEach(::handleOne)
        openRequests = state?.openRequests ?: 0
    }

    private fun handleOne(event: ServingDutyEvent) {
        when (event) {
            is ServingDutyEvent.Configured -> configure(event)
            is ServingDutyEvent.Listed -> list(event)
            is ServingDutyEvent.Opened -> {
                channels = channels.put(event.spec.id, event.channel)
                step(ServingEvent.RequestArrived(event.spec))
            }
            is ServingDutyEvent.Closed -> {
                channels = channels.remove(event.id)
                step(ServingEvent.CallerGone(event.id))
            }
            is ServingDutyEvent.Happened -> step(event.event)
        }
    }

    private fun configure(event: ServingDutyEvent.Configured) {
        if (state != null) {
            step(ServingEvent.ConfigurationChanged(event.configuration))
            return
        }
        state = ServingState.create(self, dataCentre, event.configuration, System.nanoTime())
        step(ServingEvent.UpstreamsListed(listed))
    }

    private fun list(event: ServingDutyEvent.Listed) {
        listed = event.upstreams
        upstreams = event.upstreams.associateBy { it.id }
        step(ServingEvent.UpstreamsListed(event.upstreams))
    }

    private fun step(event: ServingEvent) {
        val current = state
        if (current == null) {
            refuseUnconfigured(event)
            return
        }
        val step = Serving.step(current, event, MonotonicClock.nowMillis())
        state = step.state
        step.actions.forEach(::carryOut)
    }

    private fun refuseUnconfigured(event: ServingEvent) {
        if (event !is ServingEvent.RequestArrived) return
        carryOut(ServingAction.Refuse(event.spec.id, Refusal.NoUpstream(RETRY_AFTER_MILLIS), mayHaveRun = false))
    }

    private fun carryOut(action: ServingAction) {
        decisions.add(action)
        when (action) {
            is ServingAction.Dispatch -> channels[action.id]?.send(action)
            is ServingAction.Refuse -> channels[action.id]?.send(action)
            is ServingAction.Quarantine -> onConvict(action)
        }
    }

    companion object {
        private const val RING_EVENTS = 16_384
        private const val RETRY_AFTER_MILLIS = 1_000L

        fun start(
            self: InstanceId,
            dataCentre: DataCentre,
            decisions: DecisionLog,
            onConvict: (ServingAction.Quarantine) -> Unit,
        ): ServingDuty = ServingDuty(self, dataCentre, decisions, onConvict)
    }
}
