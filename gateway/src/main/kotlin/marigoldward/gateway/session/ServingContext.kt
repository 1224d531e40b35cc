package marigoldward.gateway.session

import io.netty.channel.EventLoop
import io.netty.util.concurrent.ScheduledFuture
import marigoldward.core.dispatch.Dispatcher
import marigoldward.core.dispatch.LongPromptGate
import marigoldward.core.dispatch.RetryBudgetShare
import marigoldward.core.model.PoolName
import marigoldward.gateway.Dialect
import marigoldward.gateway.upstream.UpstreamPool
import marigoldward.support.time.MonotonicClock
import java.util.concurrent.TimeUnit

/** What all sessions share. Used by the loop's thread only. */
internal class ServingContext(
    private val loop: EventLoop,
    val dialect: Dialect,
    val dispatcher: Dispatcher,
    val pool: UpstreamPool,
    private val newAllowance: () -> RetryBudgetShare,
) {
    private val gates = HashMap<PoolName, LongPromptGate<ReadTurn>>()
    private val allowances = HashMap<PoolName, RetryBudgetShare>()

    /** How many entries share the upstreams and the budget for repeats. */
    var entries: Int by dispatcher::gatewayCount

    /** The time of all decisions, in milliseconds of monotonic time. */
    fun nowMillis(): Long = MonotonicClock.nowMillis()

    /** Returns this entry's part of the budget for sending requests to [service] more than once. */
    fun allowance(service: PoolName): RetryBudgetShare = allowances.getOrPut(service, newAllowance)

    /** Returns what lets long prompts to the engines of [service] go a few at a time. */
    fun gate(service: PoolName): LongPromptGate<ReadTurn> = gates.getOrPut(service) { LongPromptGate() }

    /** Returns how many long prompts this entry may have at the engines of [service] at once. */
    fun gateLimit(service: PoolName): Int =
        LongPromptGate.limitPerGateway(dispatcher.prefillEngineCount(service), entries)

    /** Calls [action] on the loop's thread, [delayMillis] milliseconds from now. */
    fun later(delayMillis: Long, action: () -> Unit): ScheduledFuture<*> =
        loop.schedule(action, maxOf(0, delayMillis), TimeUnit.MILLISECONDS)
}
