package marigoldward.bench.policy

import marigoldward.core.config.SiteConfiguration
import marigoldward.core.config.UpstreamPool
import marigoldward.core.control.Fingerprint
import marigoldward.core.model.CallerId
import marigoldward.core.model.RequestId
import marigoldward.core.serving.PrefixPieces
import marigoldward.core.serving.RequestSpec
import kotlin.random.Random

/** One kind of request: its class, its sizes in tokens and the texts that its prompts share. */
internal data class RequestKind(
    val className: String,
    val caller: String,
    val sharedTexts: Int,
    val sharedPieces: Int,
    val ownTokens: IntRange,
    val outputTokens: IntRange,
)

/** How often requests of one kind come while a phase lasts. */
internal data class PhaseRate(val kind: RequestKind, val requestsPerSecond: Double)

/** A part of a workload. */
internal data class Phase(val name: String, val durationMillis: Long, val rates: List<PhaseRate>)

/** One site with its pool, its engines' first split and its phases. */
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

    /** Returns all arrivals, drawn from [seed], in the order of their time. */
    fun arrivals(seed: Long): List<RequestSpec> {
        val random = Random(seed)
        var startMillis = 0L
        val specs = phases.flatMap { phase ->
            val drawn = phase.rates.flatMap { draw(it, startMillis, phase.durationMillis, random) }
            startMillis += phase.durationMillis
            drawn
        }
        return specs.sortedBy {
            it.arrivedMillis
        }.mapIndexed { number, spec -> spec.copy(id = RequestId.parse("r$number")) }
    }

    private fun draw(rate: PhaseRate, startMillis: Long, durationMillis: Long, random: Random): List<RequestSpec> {
        val specs = ArrayList<RequestSpec>()
        var atMillis = 0.0
        while (true) {
            atMillis += -Math.log(1 - random.nextDouble()) * MILLIS_PER_SECOND / rate.requestsPerSecond
            if (atMillis >= durationMillis) return specs
            specs.add(spec(rate.kind, startMillis + atMillis.toLong(), random))
        }
    }

    private fun spec(kind: RequestKind, arrivedMillis: Long, random: Random): RequestSpec {
        val text = if (kind.sharedTexts == 0) 0 else random.nextInt(kind.sharedTexts)
        val shared = (0 until kind.sharedPieces).map { pieceHash(kind, text, it) }
        val own = random.nextInt(kind.ownTokens.first, kind.ownTokens.last + 1).toLong()
        val ownPieces = (0 until own / PrefixPieces.TOKENS_PER_PIECE).map { random.nextLong() }
        return RequestSpec(
            id = RequestId.parse("unnumbered"),
            pool = pool.name,
            priority = checkNotNull(configuration.classOrNull(kind.className)) { "no class ${kind.className}" },
            caller = CallerId.parse(kind.caller),
            promptTokens = shared.size * PrefixPieces.TOKENS_PER_PIECE + own,
            pieceHashes = shared + ownPieces,
            outputTokens = random.nextInt(kind.outputTokens.first, kind.outputTokens.last + 1).toLong(),
            arrivedMillis = arrivedMillis,
            deadlineMillis = arrivedMillis + configuration.limits.requestTimeoutMillis,
            isRepeatable = true,
            fingerprint = Fingerprint.parse("0"),
        )
    }

    private fun pieceHash(kind: RequestKind, text: Int, piece: Int): Long =
        ((kind.className.hashCode() * PRIME + kind.sharedPieces) * PRIME + text) * PRIME + piece

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
        const val PRIME = 1_000_003L
    }
}
