package marigoldward.core.dispatch

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.types.shouldBeInstanceOf
import marigoldward.core.model.DataCentre
import marigoldward.core.model.PoolName
import marigoldward.core.model.UpstreamId
import java.util.PriorityQueue
import kotlin.random.Random

private val SERVICE = PoolName.parse("plain")
private const val GATEWAYS = 75
private const val SLOTS = 6
private const val RUN_MILLIS = 60_000L
private const val SLOW_PERIOD_MILLIS = 1_400L
private const val SLOW_FACTOR = 2.5

/** What one run shows: the latencies of all requests, and the busiest instance's share relative to the mean. */
private class RunResult(val latencies: List<Long>, val busiestOverMean: Double) {
    fun lateShare(aimMillis: Long): Double = latencies.count { it > aimMillis } / latencies.size.toDouble()
}

/** An instance with [SLOTS] slots that is slow for a seventh of the time, in a phase of its own. */
private class Instance(val id: UpstreamId, private val phaseMillis: Long) {
    val waiting = ArrayDeque<Job>()
    var running = 0
    var served = 0

    fun percent(nowMillis: Long): Int = (100 * factor(nowMillis)).toInt()

    fun factor(nowMillis: Long): Double =
        if ((nowMillis + phaseMillis) % SLOW_PERIOD_MILLIS < SLOW_PERIOD_MILLIS / 7) SLOW_FACTOR else 1.0
}

private class Job(val gateway: Dispatcher, val attempt: Attempt, val instance: Instance, val workMillis: Int)

private class Event(val atMillis: Long, val number: Long, val action: () -> Unit)

/** Many dispatchers over [instanceCount] instances in virtual time; the only reports are those of own answers. */
private class VirtualSite(seed: Int, instanceCount: Int, private val reportsSpeed: Boolean) {
    private val random = Random(seed)
    private val events = PriorityQueue(compareBy<Event>({ it.atMillis }, { it.number }))
    private var nextNumber = 0L
    private var nowMillis = 0L
    private val latencies = ArrayList<Long>()
    private val instances = List(instanceCount) { Instance(UpstreamId.parse("plain-$it"), random.nextLong(1_400)) }
    private val gateways = List(GATEWAYS) { index ->
        Dispatcher(DataCentre.parse("dc-${index % 3}"), PlacementCosts.DEFAULT, random.nextLong()).apply {
            gatewayCount = GATEWAYS
            updateUpstreams(instances.mapIndexed { number, instance -> listed(instance.id, number) }, readMillis = 0)
        }
    }

    private fun listed(id: UpstreamId, number: Int) = ListedUpstream(
        id,
        SERVICE,
        "127.0.0.1:80",
        DataCentre.parse("dc-${number % 3}"),
        SLOTS,
        isLeaving = false,
        isCold = false,
        stage = null,
    )

    /** Serves requests that arrive at [perSecond] on average. */
    fun run(perSecond: Double): RunResult {
        arriveNext(perSecond)
        while (true) {
            val event = events.poll() ?: break
            nowMillis = event.atMillis
            event.action()
        }
        val mean = instances.sumOf { it.served }.toDouble() / instances.size
        return RunResult(latencies, instances.maxOf { it.served } / mean)
    }

    private fun after(delayMillis: Long, action: () -> Unit) {
        events += Event(nowMillis + delayMillis, nextNumber++, action)
    }

    private fun arriveNext(perSecond: Double) {
        val delayMillis = (-Math.log(1 - random.nextDouble()) * 1_000 / perSecond).toLong()
        if (nowMillis + delayMillis > RUN_MILLIS) return
        after(delayMillis) {
            arrive()
            arriveNext(perSecond)
        }
    }

    private fun arrive() {
        val gateway = gateways.random(random)
        val placement = gateway.place(SERVICE, emptySet(), nowMillis, "route").shouldBeInstanceOf<Placement.Single>()
        val instance = instances.first { it.id == placement.upstream.id }
        val attempt = gateway.recordStart(instance.id, null, 0, nowMillis, "route")
        val job = Job(gateway, attempt, instance, random.nextInt(15, 61))
        after(NETWORK_MILLIS) {
            instance.waiting.addLast(job)
            startWaiting(instance)
        }
    }

    private fun startWaiting(instance: Instance) {
        while (instance.running < SLOTS) {
            val job = instance.waiting.removeFirstOrNull() ?: return
            instance.running++
            after((job.workMillis * instance.factor(nowMillis)).toLong()) { end(job) }
        }
    }

    private fun end(job: Job) {
        val instance = job.instance
        instance.running--
        instance.served++
        startWaiting(instance)
        val percent = if (reportsSpeed) instance.percent(nowMillis) else null
        val load = ReportedLoad(instance.running, instance.waiting.size, SLOTS, percent)
        after(NETWORK_MILLIS) {
            latencies += nowMillis - job.attempt.startedMillis
            job.gateway.recordReceived(instance.id, load, nowMillis)
            job.gateway.recordEnd(job.attempt, AttemptEnd.ANSWERED, nowMillis)
        }
    }

    private companion object {
        const val NETWORK_MILLIS = 2L
    }
}

/** The requests a second that [instanceCount] instances serve with all slots taken, for work of 15 to 60 ms. */
private fun capacityPerSecond(instanceCount: Int): Double =
    instanceCount * SLOTS * 1_000 / (37.5 * (6 + SLOW_FACTOR) / 7)

class OldReportsTest :
    DescribeSpec({
        describe("75 gateways that know only the reports of their own answers") {
            // Guards against choices that ignore how long work takes at the moment.
            it("place fewer answers late if instances report how long work takes") {
                (1..3).forEach { seed ->
                    val perSecond = 0.6 * capacityPerSecond(3)
                    val unreported = VirtualSite(seed, 3, reportsSpeed = false).run(perSecond)
                    val reported = VirtualSite(seed, 3, reportsSpeed = true).run(perSecond)
                    withClue("seed $seed") {
                        reported.lateShare(120) shouldBeLessThan unreported.lateShare(120) * 0.75
                    }
                }
            }
            // Guards against gateways that all choose the instance that looked best in old reports.
            it("do not overload the instance that looked best") {
                (1..3).forEach { seed ->
                    val result = VirtualSite(seed, 6, reportsSpeed = true).run(0.75 * capacityPerSecond(6))
                    withClue("seed $seed") {
                        result.lateShare(400) shouldBeLessThan 0.02
                        result.busiestOverMean shouldBeLessThanOrEqual 1.2
                    }
                }
            }
        }
    })
