package marigoldward.bench.scenario

import java.io.File
import kotlin.system.exitProcess

/** Runs scenario files; the arguments are the root folder of the project and the paths of the files. */
public fun main(arguments: Array<String>) {
    if (arguments.size < 2) {
        System.err.println("usage: scenario FILE …")
        exitProcess(2)
    }
    val root = File(arguments.first())
    val files = arguments.drop(1).map(::File)
    exitProcess(ScenarioRun.exitCode(files.size, files.count { !ScenarioRun.passes(root, it) }))
}
