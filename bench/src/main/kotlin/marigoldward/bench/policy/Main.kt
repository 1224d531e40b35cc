package marigoldward.bench.policy

import java.io.File

private const val SEED = 7L

/** Simulates all policies on the workloads of both sites and prints their figures. */
public fun main(arguments: Array<String>) {
    val root = File(arguments.firstOrNull() ?: ".")
    val declarations = File(root, "examples/group")
    listOf(Workloads.svetloba(declarations), Workloads.preturi(declarations)).forEach { workload ->
        val results = Policy.entries.parallelStream().map { PolicyRun(workload, it, SEED).run() }.toList()
        PolicyReport.print(workload, results)
    }
}
