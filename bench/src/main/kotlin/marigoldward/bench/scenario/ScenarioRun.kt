package marigoldward.bench.scenario

import java.io.File

/** Runs the scenario of one file. */
internal object ScenarioRun {
    /** Runs the scenario in [file] in a folder of its own below [root]; returns whether it passed. */
    fun passes(root: File, file: File): Boolean {
        val folder = File(root, "run/${file.nameWithoutExtension}")
        folder.deleteRecursively()
        println("scenario ${file.path}")
        val scenario = Scenario(root, folder)
        val hook = Thread(scenario::close)
        Runtime.getRuntime().addShutdownHook(hook)
        try {
            scenario.use { ScenarioGrammar.read(file.readText()).forEach { step -> runStep(it, step) } }
            println("  passed")
            return true
        } catch (failure: ScenarioFailure) {
            println("  FAILED ${file.path}:${failure.line}: ${failure.message}")
            println("  logs are in ${folder.path}")
            return false
        } finally {
            Runtime.getRuntime().removeShutdownHook(hook)
        }
    }

    /** Prints how many of [total] scenarios passed and returns the exit code for [failed] that did not. */
    fun exitCode(total: Int, failed: Int): Int {
        println("${total - failed} passed, $failed failed")
        return if (failed == 0) 0 else 1
    }

    private fun runStep(scenario: Scenario, step: ScenarioLine) {
        try {
            scenario.run(step)
        } catch (failure: ScenarioFailure) {
            throw failure
        } catch (failure: Exception) {
            throw ScenarioFailure(step.line, "step \"${step.verb}\" failed: $failure")
        }
    }
}
