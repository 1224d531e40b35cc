package marigoldward.bench.soak

import marigoldward.bench.scenario.ScenarioRun
import java.io.File
import kotlin.random.Random
import kotlin.system.exitProcess

/** Runs the soak of each seed that is named after the project's folder; `fresh=N` stands for N new ones. */
public fun main(arguments: Array<String>) {
    val seeds = arguments.drop(1).flatMap(::seeds)
    if (seeds.isEmpty()) {
        System.err.println("usage: soak SEED … | soak fresh=N")
        exitProcess(2)
    }
    val root = File(arguments.first())
    val failed = seeds.filter { !passes(root, it) }
    println("${seeds.size - failed.size} passed, ${failed.size} failed")
    if (failed.isNotEmpty()) println("failed seeds: ${failed.joinToString(" ")}")
    exitProcess(if (failed.isEmpty()) 0 else 1)
}

private fun seeds(argument: String): List<Long> {
    val fresh = argument.substringAfter("fresh=", "").toIntOrNull()
    val seed = argument.toLongOrNull()
    return when {
        fresh != null -> List(fresh) { Random.nextLong(1, MOST_SEED) }
        seed != null -> listOf(seed)
        else -> {
            System.err.println("\"$argument\" is no seed")
            exitProcess(2)
        }
    }
}

private fun passes(root: File, seed: Long): Boolean {
    val file = File(root, "run/soak-$seed.txt")
    file.parentFile.mkdirs()
    file.writeText(SoakPlan.lines(seed).joinToString("\n", postfix = "\n"))
    return ScenarioRun.passes(root, file)
}

/** Seeds stay short enough to be typed. */
private const val MOST_SEED = 1_000_000L
