package marigoldward.control.stages

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import marigoldward.control.replica.LeaderTerm
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
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds

private fun engine(number: Int) = ListedUpstream(
    UpstreamId.parse("engine-$number"),
    PoolName.parse("service"),
    "127.0.0.1:$number",
    DataCentre.parse("here"),
    slots = 8,
    isLeaving = false,
    isCold = false,
    stage = EngineStage.DECODE,
)

private val ENGINES = (1..4).map(::engine)

/** Longer than the pause of the planner after an order, and a third of the time for which an order may be carried out. */
private const val CHANGE_INTERVAL_MILLIS = 4_500L

private fun statusOf(engine: ListedUpstream) =
    EngineStatus(engine, EngineStage.DECODE, 0, 0, 0.0, isExecutingOrder = false, orderSequence = 0)

/** Engines that do nothing, of which [leaving] announces in its answers that it is leaving. */
private class IdleEngines(private val leaving: UpstreamId?) : EngineControl {
    val reports = CopyOnWriteArrayList<UpstreamId>()
    val orders = CopyOnWriteArrayList<UpstreamId>()

    override fun readStatus(engine: ListedUpstream): EngineControl.Reply<Outcome<EngineStatus, String>> {
        reports.add(engine.id)
        return EngineControl.Reply(Outcome.Success(statusOf(engine)), engine.id == leaving)
    }

    override fun send(order: EngineControl.StageOrder): EngineControl.Reply<EngineControl.OrderResult> {
        orders.add(order.engine.id)
        return EngineControl.Reply(EngineControl.OrderResult.Accepted, order.engine.id == leaving)
    }
}

/** Engines whose calls throw what their callers don't expect. */
private class ThrowingEngines(private val isReadable: Boolean) : EngineControl {
    val reads = AtomicInteger()
    val orders = AtomicInteger()

    override fun readStatus(engine: ListedUpstream): EngineControl.Reply<Outcome<EngineStatus, String>> {
        reads.incrementAndGet()
        check(isReadable) { "the status of ${engine.id} can't be handled" }
        return EngineControl.Reply(Outcome.Success(statusOf(engine)), isLeaving = false)
    }

    override fun send(order: EngineControl.StageOrder): EngineControl.Reply<EngineControl.OrderResult> {
        orders.incrementAndGet()
        error("the order to ${order.engine.id} can't be handled")
    }
}

/** Engines that answer no order, and report that they have started at [startedUnixMillis]. */
private class UnansweringEngines : EngineControl {
    val reads = AtomicInteger()
    val orders = CopyOnWriteArrayList<UpstreamId>()

    @Volatile
    var startedUnixMillis = 1_000L

    override fun readStatus(engine: ListedUpstream): EngineControl.Reply<Outcome<EngineStatus, String>> {
        reads.incrementAndGet()
        val status = statusOf(engine).copy(startedUnixMillis = startedUnixMillis)
        return EngineControl.Reply(Outcome.Success(status), isLeaving = false)
    }

    override fun send(order: EngineControl.StageOrder): EngineControl.Reply<EngineControl.OrderResult> {
        orders.add(order.engine.id)
        return EngineControl.Reply(EngineControl.OrderResult.Unknown("no answer"), isLeaving = false)
    }

    /** Polls [duty] once, and waits until orders may follow from the next poll. */
    fun poll(duty: StageDuty) {
        val readsBefore = reads.get()
        duty.poll()
        while (reads.get() < readsBefore + ENGINES.size) Thread.sleep(5)
        Thread.sleep(CHANGE_INTERVAL_MILLIS)
    }
}

/** Calls [action] with a duty that orders [engines], listed as [list] returns them. */
private suspend fun withDuty(
    engines: EngineControl,
    list: () -> List<ListedUpstream> = { ENGINES },
    action: suspend (StageDuty) -> Unit,
) {
    val replica = Duty.start<ReplicaDutyEvent>("replica", 64) { events ->
        events.filterIsInstance<ReplicaDutyEvent.ReadLeaderTerm>().forEach { it.answer(1) }
    }
    replica.use {
        StageDuty(InstanceId.parse("10.0.0.1"), engines, LeaderTerm(replica, takeoverDelayMillis = 0)) {
            DirectoryReading(list(), MonotonicClock.nowMillis())
        }.use { duty -> action(duty) }
    }
}

/** Polls twice, the second time when all engines have been asked. */
private suspend fun pollTwice(engines: IdleEngines) = withDuty(engines) { duty ->
    duty.poll()
    eventually(10.seconds) { engines.reports.size shouldBe ENGINES.size }
    Thread.sleep(200)
    duty.poll()
    eventually(10.seconds) { engines.reports.size shouldBeGreaterThan 2 * ENGINES.size - 2 }
    Thread.sleep(200)
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
        describe("an engine that has left an order unanswered") {
            it("gets no other while it may still be carried out") {
                val engines = UnansweringEngines()
                withDuty(engines) { duty -> repeat(3) { engines.poll(duty) } }
                engines.orders.distinct().size shouldBe engines.orders.size
                engines.orders.shouldNotBeEmpty()
            }
            // Guards against an engine that starts again and stays without orders because of one to the start before.
            it("gets orders again once it reports another start, though the list is behind") {
                val engines = UnansweringEngines()
                withDuty(engines, { ENGINES.map { it.copy(startedUnixMillis = 1_000) } }) { duty ->
                    engines.poll(duty)
                    engines.startedUnixMillis = 2_000
                    engines.poll(duty)
                }
                engines.orders.groupingBy { it }.eachCount().values.max() shouldBe 2
            }
            it("gets orders again once the list shows another start") {
                val engines = UnansweringEngines()
                var listed = ENGINES
                withDuty(engines, { listed }) { duty ->
                    engines.poll(duty)
                    listed = ENGINES.map { it.copy(address = it.address.replace("127.0.0.1", "127.0.0.2")) }
                    engines.poll(duty)
                }
                engines.orders.groupingBy { it }.eachCount().values.max() shouldBe 2
            }
        }
        // An engine whose answer or address was not expected halted the control instance with exit code 70.
        describe("an exception in a call to an engine") {
            it("doesn't end the process when the status is read") {
                val engines = ThrowingEngines(isReadable = false)
                withDuty(engines) { duty ->
                    eventually(10.seconds) {
                        duty.poll()
                        engines.reads.get() shouldBeGreaterThan 8
                    }
                }
            }
            it("doesn't end the process when an order is sent") {
                val engines = ThrowingEngines(isReadable = true)
                withDuty(engines) { duty ->
                    eventually(10.seconds) {
                        duty.poll()
                        engines.orders.get() shouldBeGreaterThan 0
                        engines.reads.get() shouldBeGreaterThan 8
                    }
                }
            }
        }
    })
