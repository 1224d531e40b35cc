package marigoldward.bench.soak

import marigoldward.bench.scenario.ScenarioRun
import java.io.File
import kotlin.random.Random
import kotlin.system.exitProcess

/**
 * Runs the soak scenario of each seed. The arguments are the root folder of the project and the seeds: a number,
 * `A..B` for all from A to B, `fresh=N` for N random seeds or `kept` for the list of seeds that CI runs.
 */
public fun main(arguments: Array<String>) {
    val root = File(arguments.first())
    val seeds = arguments.drop(1).flatMap { parseSeeds(it, root) }
    if (seeds.isEmpty()) {
        System.err.println("usage: soak SEED | A..B | fresh=N | kept …")
        exitProcess(2)
    }
    val failed = seeds.filter { !passes(root, it) }
    val code = ScenarioRun.exitCode(seeds.size, failed.size)
    if (failed.isNotEmpty()) println("failed seeds: ${failed.joinToString(" ")}")
    exitProcess(code)
}

private fun parseSeeds(argument: String, root: File): List<Long> {
    val freshCount = argument.substringAfter("fresh=", "").toIntOrNull()
    val seed = argument.toLongOrNull()
    return when {
        freshCount != null -> List(freshCount) { Random.nextLong(1, RANDOM_SEED_BOUND) }
        seed != null -> listOf(seed)
        argument == "kept" -> SoakSeeds.parse(File(root, SEEDS_FILE).readText())
        ".." in argument -> parseRange(argument)
        else -> exitWithInvalidSeed(argument)
    }
}

private fun parseRange(argument: String): List<Long> {
    val first = argument.substringBefore("..").toLongOrNull() ?: exitWithInvalidSeed(argument)
    val last = argument.substringAfter("..").toLongOrNull() ?: exitWithInvalidSeed(argument)
    return (first..last).toList()
}

private fun exitWithInvalidSeed(argument: String): Nothing {
    System.err.println("\"$argument\" is not a seed")
    exitProcess(2)
}

private fun passes(root: File, seed: Long): Boolean {
    val file = File(root, "run/soak-$seed.txt")
    file.parentFile.mkdirs()
    file.writeText(SoakPlan.lines(seed).joinToString("\n", postfix = "\n"))
    return ScenarioRun.passes(root, file)
}

/** Seeds that failed once; CI runs them all. */
private const val SEEDS_FILE = "scenarios/soak-seeds.list"

/** Random seeds are below this bound, so that they are short enough to type. */
private const val RANDOM_SEED_BOUND = 1_000_000L
