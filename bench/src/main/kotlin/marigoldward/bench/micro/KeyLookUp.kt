package marigoldward.bench.micro

import marigoldward.core.workspaces.KeyDigest
import marigoldward.core.workspaces.Workspace
import marigoldward.core.workspaces.WorkspaceName
import marigoldward.core.workspaces.Workspaces

private const val WARM_UP_ROUNDS = 20
private const val LOOK_UPS = 5_000
private const val NANOS_PER_MICRO = 1_000.0

/** A prime, so that the keys asked for are spread over all. */
private const val STEP = 7_919L

/** Measures the look-up of keys, half of them unknown, among [keys] keys of as many workspaces. */
internal fun printKeyLookUpTime(keys: Int) {
    val workspaces = Workspaces.of(
        (1..keys).map { Workspace(WorkspaceName.parse("w$it"), setOfNotNull(KeyDigest.ofOrNull(apiKey(it))), null) },
    )
    val asked = List(LOOK_UPS) { apiKey((it * STEP % (2L * keys)).toInt() + 1) }
    repeat(WARM_UP_ROUNDS) { asked.count { workspaces.ofKeyOrNull(it) != null } }
    val startBytes = allocatedBytes()
    val startNanos = System.nanoTime()
    val found = asked.count { workspaces.ofKeyOrNull(it) != null }
    val micros = (System.nanoTime() - startNanos) / NANOS_PER_MICRO / LOOK_UPS
    val bytes = (allocatedBytes() - startBytes) / LOOK_UPS
    println("measure=key keys=$keys found=$found micros=${"%.2f".format(micros)} allocated_bytes=$bytes")
}

private fun apiKey(number: Int): String = "kn2ftimaj3nr%08d".format(number)
