package marigoldward.bench.policy

/** Prints the results of several policies on one workload. */
internal object PolicyReport {
    fun print(workload: Workload, results: List<PolicyResult>) {
        println(
            "workload=${workload.name} prefill_engines=${workload.prefillEngines} " +
                "decode_engines=${workload.decodeEngines} entries=${workload.entries}",
        )
        results.forEach { result ->
            val goodput = result.goodput(Workloads.SWING)
            println("policy=\"${result.policy.label}\" swing_goodput=$goodput role_changes=${result.roleChanges}")
            printFigures("swing", result.figures(Workloads.SWING))
            printFigures(Workloads.LOW_FLOOD, result.figures(setOf(Workloads.LOW_FLOOD)))
            printFigures(Workloads.HIGH_FLOOD, result.figures(setOf(Workloads.HIGH_FLOOD)))
            val shares = workload.configuration.classes.joinToString(" ") {
                "${it.name}=${"%.3f".format(result.shareOfWork(it.name.text, setOf(Workloads.HIGH_FLOOD)))}"
            }
            println("  shares in high flood: $shares")
        }
    }

    private fun printFigures(part: String, figures: List<PolicyResult.ClassFigures>) {
        figures.forEach {
            println(
                "  part=\"$part\" class=${it.className} offered=${it.offered} good=${it.good} " +
                    "good_percent=${"%.1f".format(it.goodPercent)} answered=${it.answered} refused=${it.refused} " +
                    "first_token_ms_p50=${it.firstTokenP50Millis} p95=${it.firstTokenP95Millis} " +
                    "p99=${it.firstTokenP99Millis} gap_ms_p95=${it.gapP95Millis}",
            )
        }
    }
}
