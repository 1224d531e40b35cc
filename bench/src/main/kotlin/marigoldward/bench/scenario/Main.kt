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
    val files = arguments.drop(1).map(::File)
    exitProcess(ScenarioRun.exitCode(files.size, files.count { !ScenarioRun.passes(root, it) }))
}
