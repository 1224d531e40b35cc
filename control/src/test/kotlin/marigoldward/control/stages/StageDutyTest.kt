package marigoldward.control.stages

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.shouldBe
import marigoldward.control.replica.ReplicaDutyEvent
import marigoldward.core.Outcome
import marigoldward.core.dispatch.EngineStage
import marigoldward.core.dispatch.EngineStatus
import marigoldward.core.dispatch.ListedUpstream
import marigoldward.core.model.DataCentre
import marigoldward.core.model.InstanceId
import marigoldward.core.model.PoolName
import marigoldward.core.model.UpstreamId
import marigoldward.support.directory.DirectoryReading
import marigoldward.support.duty.Duty
import marigoldward.support.time.MonotonicClock
import java.util.concurrent.CopyOnWriteArrayList

private fun engine(name: String) = ListedUpstream(
    UpstreamId.parse(name),
    PoolName.parse("service"),
    "127.0.0.1:1",
    DataCentre.parse("here"),
    slots = 8,
    isLeaving = false,
    isCold = false,
    stage = EngineStage.DECODE,
)

private val ENGINES = listOf("one", "two", "three", "four").map(::engine)

/** Engines that do nothing, of which [leaving] announces in its answers that it is leaving. */
private class IdleEngines(private val leaving: UpstreamId?) : EngineControl {
    val reports = CopyOnWriteArrayList<UpstreamId>()
    val orders = CopyOnWriteArrayList<UpstreamId>()

    override fun readStatus(engine: ListedUpstream): EngineControl.Reply<Outcome<EngineStatus, String>> {
        reports.add(engine.id)
        val status = EngineStatus(engine, EngineStage.DECODE, 0, 0, 0.0, isExecutingOrder = false, orderSequence = 0)
        return EngineControl.Reply(Outcome.Success(status), engine.id == leaving)
    }

    override fun send(order: EngineControl.StageOrder): EngineControl.Reply<EngineControl.OrderResult> {
        orders.add(order.engine.id)
        return EngineControl.Reply(EngineControl.OrderResult.Accepted, order.engine.id == leaving)
    }
}

private fun pollTwice(engines: IdleEngines) {
    val replica = Duty.start<ReplicaDutyEvent>("replica", 16) { events ->
        events.filterIsInstance<ReplicaDutyEvent.ReadLeaderTerm>().forEach { it.answer(1) }
    }
    StageDuty(InstanceId.parse("10.0.0.1"), engines, replica, takeoverDelayMillis = 0) {
        DirectoryReading(ENGINES, MonotonicClock.nowMillis())
    }.use { duty ->
        repeat(2) {
            duty.poll()
            Thread.sleep(200)
        }
    }
    replica.close()
}

class StageDutyTest :
    DescribeSpec({
        describe("engines that are idle") {
            it("get orders, and are asked for their status in each poll") {
                val engines = IdleEngines(leaving = null)
                pollTwice(engines)
                engines.orders.shouldNotBeEmpty()
                engines.reports.groupingBy { it }.eachCount() shouldBe ENGINES.associate { it.id to 2 }
            }
            // Guards against orders to an engine that has said in its report that it is leaving.
            it("get no orders from when they have announced that they are leaving, though they are listed as ready") {
                val first = IdleEngines(leaving = null)
                pollTwice(first)
                val ordered = first.orders.first()
                val engines = IdleEngines(leaving = ordered)
                pollTwice(engines)
                engines.orders.filter { it == ordered }.size shouldBe 0
                engines.reports.count { it == ordered } shouldBe 1
            }
        }
    })
