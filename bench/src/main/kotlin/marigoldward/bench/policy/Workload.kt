package marigoldward.bench.policy

import marigoldward.core.config.SiteConfiguration
import marigoldward.core.config.UpstreamPool
import marigoldward.core.control.Fingerprint
import marigoldward.core.model.CallerId
import marigoldward.core.model.RequestId
import marigoldward.core.serving.PrefixPieces
import marigoldward.core.serving.RequestSpec
import kotlin.random.Random

/**
 * A kind of request.
 *
 * @property sharedPrefixes the number of different texts with which prompts of this kind begin, or 0 for none
 * @property sharedPieces the length of each shared text, in pieces of [PrefixPieces.TOKENS_PER_PIECE] tokens
 * @property ownTokens the length of the rest of a prompt, in tokens
 * @property outputTokens the length of an answer, in tokens
 */
internal data class RequestKind(
    val className: String,
    val caller: String,
    val sharedPrefixes: Int,
    val sharedPieces: Int,
    val ownTokens: IntRange,
    val outputTokens: IntRange,
)

/** The rate at which requests of one kind arrive during a phase. */
internal data class RequestRate(val kind: RequestKind, val requestsPerSecond: Double)

/** A period of a workload with constant request rates. */
internal data class Phase(val name: String, val durationMillis: Long, val rates: List<RequestRate>)

/**
 * The requests and engines of one site.
 *
 * @property prefillEngines the number of engines that start in the prefill role
 * @property decodeEngines the number of engines that start in the decode role
 */
internal data class Workload(
    val name: String,
    val configuration: SiteConfiguration,
    val pool: UpstreamPool,
    val prefillEngines: Int,
    val decodeEngines: Int,
    val entries: Int,
    val phases: List<Phase>,
) {
    val durationMillis: Long get() = phases.sumOf { it.durationMillis }

    /** Returns the requests drawn from [seed] in the order of their arrival. */
    fun arrivals(seed: Long): List<RequestSpec> {
        val random = Random(seed)
        var startMillis = 0L
        val specs = phases.flatMap { phase ->
            val drawn = phase.rates.flatMap { drawArrivals(it, startMillis, phase.durationMillis, random) }
            startMillis += phase.durationMillis
            drawn
        }
        return specs.sortedBy { it.arrivedMillis }
            .mapIndexed { number, spec -> spec.copy(id = RequestId.parse("r$number")) }
    }

    private fun drawArrivals(
        rate: RequestRate,
        startMillis: Long,
        durationMillis: Long,
        random: Random,
    ): List<RequestSpec> {
        val specs = ArrayList<RequestSpec>()
        var atMillis = 0.0
        while (true) {
            atMillis += -Math.log(1 - random.nextDouble()) * MILLIS_PER_SECOND / rate.requestsPerSecond
            if (atMillis >= durationMillis) return specs
            specs.add(drawSpec(rate.kind, startMillis + atMillis.toLong(), random))
        }
    }

    private fun drawSpec(kind: RequestKind, arrivedMillis: Long, random: Random): RequestSpec {
        val prefix = if (kind.sharedPrefixes == 0) 0 else random.nextInt(kind.sharedPrefixes)
        val shared = (0 until kind.sharedPieces).map { sharedPieceHash(kind, prefix, it) }
        val ownTokens = random.nextInt(kind.ownTokens.first, kind.ownTokens.last + 1).toLong()
        val ownPieces = (0 until ownTokens / PrefixPieces.TOKENS_PER_PIECE).map { random.nextLong() }
        return RequestSpec(
            id = RequestId.parse("unnumbered"),
            pool = pool.name,
            priority = checkNotNull(configuration.classOrNull(kind.className)) { "no class ${kind.className}" },
            caller = CallerId.parse(kind.caller),
            promptTokens = shared.size * PrefixPieces.TOKENS_PER_PIECE + ownTokens,
            pieceHashes = shared + ownPieces,
            outputTokens = random.nextInt(kind.outputTokens.first, kind.outputTokens.last + 1).toLong(),
            arrivedMillis = arrivedMillis,
            deadlineMillis = arrivedMillis + configuration.limits.requestTimeoutMillis,
            isRepeatable = true,
            fingerprint = Fingerprint.parse("0"),
        )
    }

    private fun sharedPieceHash(kind: RequestKind, prefix: Int, piece: Int): Long =
        ((kind.className.hashCode() * PRIME + kind.sharedPieces) * PRIME + prefix) * PRIME + piece

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
        const val PRIME = 1_000_003L
    }
}
