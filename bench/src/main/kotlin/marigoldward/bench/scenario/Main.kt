package marigoldward.bench.scenario

import java.io.File
import kotlin.system.exitProcess

/** Runs the scenarios in the files that are named after the project's folder. */
public fun main(arguments: Array<String>) {
    if (arguments.size < 2) {
        System.err.println("usage: scenario FILE …")
        exitProcess(2)
    }
    val root = File(arguments.first())
    val failed = arguments.drop(1).map(::File).filter { !ScenarioRun.passes(root, it) }
    println("${arguments.size - 1 - failed.size} passed, ${failed.size} failed")
    exitProcess(if (failed.isEmpty()) 0 else 1)
}
