package marigoldward.bench.micro

import marigoldward.core.control.ControlCommand
import marigoldward.core.control.ControlState
import marigoldward.core.control.ControlStateMachine
import marigoldward.core.control.IdempotencyKey
import marigoldward.core.model.CallerId
import marigoldward.core.model.InstanceId
import marigoldward.core.serving.AttemptResult
import marigoldward.core.serving.Serving
import marigoldward.core.serving.ServingAction
import marigoldward.core.serving.ServingEvent
import marigoldward.core.serving.ServingState
import java.io.File
import java.lang.management.ManagementFactory

private const val WARM_UP_ROUNDS = 3_000
private const val ROUNDS = 5_000
private const val NANOS_PER_MICRO = 1_000.0

/** Measures the time of one routing decision, one claim and one look-up of a key at several sizes. */
public fun main(arguments: Array<String>) {
    val root = File(arguments.firstOrNull() ?: ".")
    listOf(10, 100, 1_000, 7_700).forEach { engines -> RoutingBenchmark(root, engines).print() }
    listOf(1_000, 10_000, 100_000).forEach(::printClaimTime)
    listOf(10, 1_000, 100_000).forEach(::printKeyLookUpTime)
}

/** Measures the routing of requests to a pool of [engines] engines. */
private class RoutingBenchmark(root: File, private val engines: Int) {
    private val setup = BenchmarkSetup.read(root)
    private var state = ServingState.create(InstanceId.parse("entry-1"), setup.dataCentre, setup.configuration, 1)
    private var nextRequest = 0L

    init {
        state = Serving.step(state, ServingEvent.UpstreamsListed(setup.upstreams(engines)), 0).state
    }

    fun print() {
        repeat(WARM_UP_ROUNDS) { routeRequest() }
        val startBytes = allocatedBytes()
        val startNanos = System.nanoTime()
        repeat(ROUNDS) { routeRequest() }
        val micros = (System.nanoTime() - startNanos) / NANOS_PER_MICRO / ROUNDS
        val bytes = (allocatedBytes() - startBytes) / ROUNDS
        println("measure=route engines=$engines micros=${"%.1f".format(micros)} allocated_bytes=$bytes")
    }

    /** Handles the three events of one request: its arrival, its first token and its end. */
    private fun routeRequest() {
        val spec = setup.request(nextRequest++)
        val arrived = Serving.step(state, ServingEvent.RequestArrived(spec), 0)
        state = arrived.state
        arrived.actions.filterIsInstance<ServingAction.Dispatch>().forEach { dispatch ->
            state = Serving.step(state, ServingEvent.AttemptPrefilled(dispatch.id, dispatch.attempt), 0).state
            val done = ServingEvent.AttemptFinished(dispatch.id, dispatch.attempt, AttemptResult.Done)
            state = Serving.step(state, done, 0).state
        }
    }
}

private fun printClaimTime(existing: Int) {
    var state = ControlState.EMPTY
    repeat(existing) { state = ControlStateMachine.apply(state, it + 1L, claim(it)).state }
    repeat(WARM_UP_ROUNDS) { ControlStateMachine.apply(state, existing + 1L, claim(existing + it)) }
    val startNanos = System.nanoTime()
    repeat(ROUNDS) { state = ControlStateMachine.apply(state, existing + 1L + it, claim(existing + it)).state }
    val micros = (System.nanoTime() - startNanos) / NANOS_PER_MICRO / ROUNDS
    println("measure=claim existing=$existing micros=${"%.2f".format(micros)}")
}

private fun claim(number: Int): ControlCommand =
    ControlCommand.ClaimKey(IdempotencyKey(CallerId.parse("caller"), "key-$number"), "attempt-$number", "hash", 0)

internal fun allocatedBytes(): Long {
    val bean = ManagementFactory.getThreadMXBean() as com.sun.management.ThreadMXBean
    return bean.getThreadAllocatedBytes(Thread.currentThread().id)
}
