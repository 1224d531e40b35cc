package marigoldward.control.stages

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import marigoldward.control.replica.ReplicaDutyEvent
import marigoldward.core.Outcome
import marigoldward.core.dispatch.EngineStage
import marigoldward.core.dispatch.EngineStatus
import marigoldward.core.dispatch.ListedUpstream
import marigoldward.core.model.DataCentre
import marigoldward.core.model.InstanceId
import marigoldward.core.model.PoolName
import marigoldward.core.model.UpstreamId
import marigoldward.support.duty.Duty
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds

/** Engines whose calls throw what their callers don't expect. */
private class ThrowingEngines(private val isReadable: Boolean) : EngineControl {
    val reads = AtomicInteger()
    val orders = AtomicInteger()

    override fun readStatus(engine: ListedUpstream): Outcome<EngineStatus, String> {
        reads.incrementAndGet()
        check(isReadable) { "the status of ${engine.id} can't be handled" }
        return Outcome.Success(EngineStatus(engine, EngineStage.PREFILL, 0, 0, 0.0, false, 0))
    }

    override fun send(order: EngineControl.StageOrder): EngineControl.OrderResult {
        orders.incrementAndGet()
        error("the order to ${order.engine.id} can't be handled")
    }
}

private fun engine(number: Int) = ListedUpstream(
    UpstreamId.parse("engine-$number"),
    PoolName.parse("pool"),
    "127.0.0.1:$number",
    DataCentre.parse("a"),
    slots = 1,
    isLeaving = false,
    isCold = false,
    EngineStage.PREFILL,
)

/** Lets a duty poll [engines] until [isDone]. */
private suspend fun poll(engines: EngineControl, isDone: () -> Unit) {
    val replica = Duty.start<ReplicaDutyEvent>("replica", 64) { events ->
        events.filterIsInstance<ReplicaDutyEvent.ReadLeaderTerm>().forEach { it.answer(1) }
    }
    replica.use {
        StageDuty(InstanceId.parse("control-1"), engines, replica, 0, { (1..4).map(::engine) }).use { duty ->
            eventually(10.seconds) {
                duty.poll()
                isDone()
            }
        }
    }
}

class StageDutyTest :
    DescribeSpec({
        // An engine whose answer or address was not expected halted the control instance with exit code 70.
        describe("an exception in a call to an engine") {
            it("doesn't end the process when the status is read") {
                val engines = ThrowingEngines(isReadable = false)
                poll(engines) { engines.reads.get() shouldBeGreaterThan 8 }
            }
            it("doesn't end the process when an order is sent") {
                val engines = ThrowingEngines(isReadable = true)
                poll(engines) {
                    engines.orders.get() shouldBeGreaterThan 0
                    engines.reads.get() shouldBeGreaterThan 8
                }
            }
        }
    })
