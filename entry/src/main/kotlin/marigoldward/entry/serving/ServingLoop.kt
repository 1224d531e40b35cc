package marigoldward.entry.serving

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import marigoldward.core.config.SiteConfiguration
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

/**
 * Holds the serving state and applies [Serving.step] to it on one thread.
 *
 * The decisions about a request go to its [RequestChannel]. Before the first configuration, all requests are refused.
 */
internal class ServingLoop private constructor(
    private val self: InstanceId,
    private val dataCentre: DataCentre,
    private val decisionLog: DecisionLog,
    private val onQuarantine: (ServingAction.Quarantine) -> Unit,
) : AutoCloseable {
    private val duty: Duty<ServingLoopEvent> = Duty.start("serving", QUEUE_CAPACITY, ::handleAll)
    private var state: ServingState? = null
    private var channels: PersistentMap<RequestId, RequestChannel> = persistentMapOf()
    private var listedUpstreams = emptyList<UpstreamInfo>()

    /** The upstreams in the platform's last list, by id. */
    @Volatile
    var upstreams: Map<UpstreamId, UpstreamInfo> = emptyMap()
        private set

    /** The number of requests that wait or have an attempt in flight. */
    @Volatile
    var openRequests: Int = 0
        private set

    /** Queues [event] without waiting. Returns false if the queue is full. */
    fun offer(event: ServingLoopEvent): Boolean = duty.offer(event)

    /** Queues [event] and waits while the queue is full, for events that must not be dropped. */
    fun put(event: ServingLoopEvent) = duty.put(event)

    /** Queues [event] for [Serving.step] and waits while the queue is full. */
    fun put(event: ServingEvent) = duty.put(ServingLoopEvent.Step(event))

    override fun close() = duty.close()

    private fun handleAll(events: List<ServingLoopEvent>) {
        events.forEach(::handle)
        openRequests = state?.openRequests ?: 0
    }

    private fun handle(event: ServingLoopEvent) {
        when (event) {
            is ServingLoopEvent.ConfigurationChanged -> configure(event.configuration)
            is ServingLoopEvent.UpstreamsListed -> updateUpstreams(event.upstreams)
            is ServingLoopEvent.RequestOpened -> {
                channels = channels.put(event.spec.id, event.channel)
                step(ServingEvent.RequestArrived(event.spec))
            }
            is ServingLoopEvent.RequestClosed -> {
                channels = channels.remove(event.id)
                step(ServingEvent.CallerGone(event.id))
            }
            is ServingLoopEvent.Step -> step(event.event)
        }
    }

    private fun configure(configuration: SiteConfiguration) {
        if (state != null) {
            step(ServingEvent.ConfigurationChanged(configuration))
            return
        }
        state = ServingState.create(self, dataCentre, configuration, System.nanoTime())
        step(ServingEvent.UpstreamsListed(listedUpstreams))
    }

    private fun updateUpstreams(listed: List<UpstreamInfo>) {
        listedUpstreams = listed
        upstreams = listed.associateBy { it.id }
        step(ServingEvent.UpstreamsListed(listed))
    }

    private fun step(event: ServingEvent) {
        val current = state
        if (current == null) {
            refuseWithoutConfiguration(event)
            return
        }
        val step = Serving.step(current, event, MonotonicClock.nowMillis())
        state = step.state
        step.actions.forEach(::execute)
    }

    private fun refuseWithoutConfiguration(event: ServingEvent) {
        if (event !is ServingEvent.RequestArrived) return
        execute(ServingAction.Refuse(event.spec.id, Refusal.NoUpstream(RETRY_AFTER_MILLIS), mayHaveRun = false))
    }

    private fun execute(action: ServingAction) {
        decisionLog.add(action)
        when (action) {
            is ServingAction.Dispatch -> channels[action.id]?.send(action)
            is ServingAction.Refuse -> channels[action.id]?.send(action)
            is ServingAction.Quarantine -> onQuarantine(action)
        }
    }

    companion object {
        private const val QUEUE_CAPACITY = 16_384
        private const val RETRY_AFTER_MILLIS = 1_000L

        /**
         * Starts the thread.
         *
         * [onQuarantine] is called on it for each fingerprint that this process quarantines, and must not block.
         */
        fun start(
            self: InstanceId,
            dataCentre: DataCentre,
            decisionLog: DecisionLog,
            onQuarantine: (ServingAction.Quarantine) -> Unit,
        ): ServingLoop = ServingLoop(self, dataCentre, decisionLog, onQuarantine)
    }
}
