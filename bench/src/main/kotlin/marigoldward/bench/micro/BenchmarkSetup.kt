package marigoldward.bench.micro

import marigoldward.bench.policy.Workloads
import marigoldward.core.config.SiteConfiguration
import marigoldward.core.control.Fingerprint
import marigoldward.core.model.CallerId
import marigoldward.core.model.DataCentre
import marigoldward.core.model.RequestId
import marigoldward.core.model.UpstreamId
import marigoldward.core.serving.RequestSpec
import marigoldward.core.serving.UpstreamInfo
import java.io.File

/** A pool of engines and requests for the micro benchmarks. */
internal class BenchmarkSetup private constructor(val configuration: SiteConfiguration) {
    val dataCentre: DataCentre = DataCentre.parse("dc")
    private val pool = configuration.pools.first { it.model != null }

    fun upstreams(count: Int): List<UpstreamInfo> = (1..count).map {
        UpstreamInfo(UpstreamId.parse("engine-$it"), pool.name, dataCentre, "127.0.0.1:1", isLeaving = false)
    }

    fun request(number: Long): RequestSpec = RequestSpec(
        id = RequestId.parse("r$number"),
        pool = pool.name,
        priority = configuration.classes[(number % configuration.classes.size).toInt()],
        caller = CallerId.parse("caller"),
        promptTokens = PROMPT_TOKENS,
        pieceHashes = listOf(number % SHARED_PREFIXES, number),
        outputTokens = OUTPUT_TOKENS,
        arrivedMillis = 0,
        deadlineMillis = Long.MAX_VALUE,
        isRepeatable = true,
        fingerprint = Fingerprint.parse("0"),
    )

    companion object {
        private const val PROMPT_TOKENS = 9_000L
        private const val OUTPUT_TOKENS = 200L

        /** The number of different first pieces, so that some requests share a prefix. */
        private const val SHARED_PREFIXES = 100L

        /** Reads the example configuration below the project's folder [root]. */
        fun read(root: File): BenchmarkSetup =
            BenchmarkSetup(Workloads.svetloba(File(root, "examples/group")).configuration)
    }
}
