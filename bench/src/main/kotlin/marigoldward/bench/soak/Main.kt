package marigoldward.bench.soak

import marigoldward.bench.scenario.ScenarioRun
import java.io.File
import kotlin.random.Random
import kotlin.system.exitProcess

/**
 * Runs the soak of each seed that is named after the project's folder. `fresh=N` stands for N new ones, `A..B` for all
 * from A to B, `kept` for those of the list that CI runs.
 */
public fun main(arguments: Array<String>) {
    val root = File(arguments.first())
    val seeds = arguments.drop(1).flatMap { seeds(it, root) }
    if (seeds.isEmpty()) {
        System.err.println("usage: soak SEED | A..B | fresh=N | kept …")
        exitProcess(2)
    }
    val failed = seeds.filter { !passes(root, it) }
    val code = ScenarioRun.exitCode(seeds.size, failed.size)
    if (failed.isNotEmpty()) println("failed seeds: ${failed.joinToString(" ")}")
    exitProcess(code)
}

private fun seeds(argument: String, root: File): List<Long> {
    val fresh = argument.substringAfter("fresh=", "").toIntOrNull()
    val seed = argument.toLongOrNull()
    return when {
        fresh != null -> List(fresh) { Random.nextLong(1, MOST_SEED) }
        seed != null -> listOf(seed)
        argument == "kept" -> SoakSeeds.read(File(root, SEEDS_FILE).readText())
        ".." in argument -> range(argument)
        else -> noSeed(argument)
    }
}

private fun range(argument: String): List<Long> {
    val first = argument.substringBefore("..").toLongOrNull() ?: noSeed(argument)
    val last = argument.substringAfter("..").toLongOrNull() ?: noSeed(argument)
    return (first..last).toList()
}

private fun noSeed(argument: String): Nothing {
    System.err.println("\"$argument\" is no seed")
    exitProcess(2)
}

private fun passes(root: File, seed: Long): Boolean {
    val file = File(root, "run/soak-$seed.txt")
    file.parentFile.mkdirs()
    file.writeText(SoakPlan.lines(seed).joinToString("\n", postfix = "\n"))
    return ScenarioRun.passes(root, file)
}

/** The seeds that failed once, and those that CI always runs. */
private const val SEEDS_FILE = "scenarios/soak-seeds.list"

/** Seeds stay short enough to be typed. */
private const val MOST_SEED = 1_000_000L
