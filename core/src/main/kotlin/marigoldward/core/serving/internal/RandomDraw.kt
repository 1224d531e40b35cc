package marigoldward.core.serving.internal

/** A pseudo-random number, and the next state of its generator. */
internal data class RandomDraw(val value: Int, val nextState: Long)

/** Returns a number from 0 until [bound], drawn by the SplitMix64 generator in the state [state]. */
internal fun draw(state: Long, bound: Int): RandomDraw {
    val next = state + GOLDEN_GAMMA
    var mixed = next
    mixed = (mixed xor (mixed ushr 30)) * MIX_MULTIPLIER_1
    mixed = (mixed xor (mixed ushr 27)) * MIX_MULTIPLIER_2
    mixed = mixed xor (mixed ushr 31)
    return RandomDraw(Math.floorMod(mixed, bound), next)
}

private const val GOLDEN_GAMMA = -0x61c8864680b583ebL
private const val MIX_MULTIPLIER_1 = -0x40a7b892e31b1a47L
private const val MIX_MULTIPLIER_2 = -0x6b2fb644ecceee15L
