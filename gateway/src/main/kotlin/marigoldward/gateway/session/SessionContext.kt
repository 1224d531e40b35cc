package marigoldward.gateway.session

import io.netty.channel.EventLoop
import io.netty.util.concurrent.ScheduledFuture
import marigoldward.core.dispatch.Dispatcher
import marigoldward.core.dispatch.DuplicateEntries
import marigoldward.core.dispatch.ListedUpstream
import marigoldward.core.dispatch.LongPromptGate
import marigoldward.core.dispatch.RetryBudgetShare
import marigoldward.core.dispatch.ShutdownAdmission
import marigoldward.core.model.PoolName
import marigoldward.core.workspaces.Workspace
import marigoldward.gateway.Dialect
import marigoldward.gateway.GatewayMetrics
import marigoldward.gateway.demand.MeasuredDemand
import marigoldward.gateway.loggedTask
import marigoldward.gateway.upstream.UpstreamPool
import marigoldward.gateway.usage.MeteredUsage
import marigoldward.support.time.MonotonicClock
import java.util.concurrent.TimeUnit

/**
 * The state and services that all sessions share. Confined to the event loop thread.
 *
 * @param usage counts the requests of workspaces, or null if they are not counted
 * @property demand counts the demand for engines, or null if it is not counted
 * @param budgetSharerCount returns the number of gateways that share the slack of the retry budgets
 */
internal class SessionContext(
    private val loop: EventLoop,
    val dialect: Dialect,
    val dispatcher: Dispatcher,
    val pool: UpstreamPool,
    val crashes: CrashSuspicions,
    private val newRetryBudget: () -> RetryBudgetShare,
    private val usage: MeteredUsage? = null,
    val demand: MeasuredDemand? = null,
    private val budgetSharerCount: () -> Int,
) {
    private val activeSessions = LinkedHashSet<Session>()

    /** Decides which requests are still taken during a shutdown. */
    val shutdownAdmission = ShutdownAdmission()
    private val longPromptGates = HashMap<PoolName, LongPromptGate<LongPromptAdmission>>()
    private val retryBudgets = HashMap<PoolName, RetryBudgetShare>()

    /** Decides between entries of the list of upstreams that give the same id. */
    val duplicateEntries = DuplicateEntries()

    /** The services of the configuration in force. */
    var declaredServices: Set<PoolName> = emptySet()

    /** The number of gateways that share the upstreams, including this one, as last reported. */
    var gatewayCount: Int by dispatcher::gatewayCount

    /** Returns the current time, in milliseconds of monotonic time. */
    fun nowMillis(): Long = MonotonicClock.nowMillis()

    /** Records that [session] has started. */
    fun recordSessionStart(session: Session) {
        activeSessions.add(session)
    }

    /** Records that [session], which serves [request], has ended after [durationMillis]. */
    fun recordSessionEnd(session: Session, request: SessionRequest, durationMillis: Long, isRefused: Boolean) {
        demand?.recordEnd(request.serviceName, isRefused)
        activeSessions.remove(session)
        shutdownAdmission.recordEnd(request.route.name, durationMillis, nowMillis())
    }

    /** Counts a request of [workspace] that began to run at [monotonicMillis], if usage is counted. */
    fun recordBegun(workspace: Workspace, monotonicMillis: Long) {
        usage?.recordBegun(workspace, monotonicMillis)
    }

    /** Ends all sessions, as the gateway is about to exit; those first that wait, so that none of them is sent. */
    fun endSessionsForExit() {
        activeSessions.sortedBy { it.mayHaveRun }.forEach { loggedTask(it::endForExit).run() }
    }

    /** Counts a request for [service], from which retries may be taken later. */
    fun recordRequest(service: PoolName) {
        demand?.recordRequest(service)
        retryBudget(service).recordRequest(nowMillis())
    }

    /** Takes one retry from this gateway's share of the retry budget of [service]; returns false if nothing is left. */
    fun tryTakeRetry(service: PoolName): Boolean {
        val isTaken = retryBudget(service).tryTake(budgetSharerCount(), nowMillis())
        GatewayMetrics.recordRetryDecision(isTaken)
        return isTaken
    }

    private fun retryBudget(service: PoolName): RetryBudgetShare = retryBudgets.getOrPut(service, newRetryBudget)

    /** Returns the gate that limits the long prompts that are at the engines of [service] at once. */
    fun longPromptGate(service: PoolName): LongPromptGate<LongPromptAdmission> =
        longPromptGates.getOrPut(service) { LongPromptGate() }

    /** Returns how many long prompts this gateway may have at the engines of [service] at once. */
    fun longPromptLimit(service: PoolName): Int =
        LongPromptGate.limitPerGateway(dispatcher.prefillEngineCount(service), gatewayCount)

    /**
     * Records it if [upstream] announces in a response with [metadata] that it is leaving. A response of another upstream
     * that now has its address says nothing about it.
     */
    fun recordAnnouncement(upstream: ListedUpstream, metadata: Dialect.ResponseMetadata) {
        val isOwn = metadata.answeredBy?.let { it == upstream.id.text } ?: !metadata.isMisdirected
        if (!metadata.isLeaving || !isOwn || !dispatcher.recordLeaving(upstream, nowMillis())) return
        pool.closeIdle(upstream.id)
        LeavingLog.announcedInAnswer(upstream)
    }

    /** Replaces the list of upstreams by [upstreams], read at [readMillis], and forgets what starts before have shown. */
    fun updateUpstreams(upstreams: List<ListedUpstream>, readMillis: Long) {
        val resolved = duplicateEntries.resolve(upstreams) { it in declaredServices }
        val applied = dispatcher.updateUpstreams(resolved, readMillis)
        applied.restarted.forEach { pool.forget(it.id) }
        LeavingLog.listApplied(applied, nowMillis() - readMillis)
    }

    /** Runs [action] on the event loop thread after [delayMillis], at once if that is negative. */
    fun schedule(delayMillis: Long, action: () -> Unit): ScheduledFuture<*> =
        loop.schedule(loggedTask(action), maxOf(0, delayMillis), TimeUnit.MILLISECONDS)
}
