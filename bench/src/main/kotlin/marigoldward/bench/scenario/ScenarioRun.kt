package marigoldward.bench.scenario

import java.io.File

/** Runs scenario files and prints their results. */
internal object ScenarioRun {
    /** Runs the scenario in [file] and returns whether it passed; logs and data go to `run/` below [root]. */
    fun passes(root: File, file: File): Boolean {
        val folder = File(root, "run/${file.nameWithoutExtension}")
        folder.deleteRecursively()
        println("scenario ${file.path}")
        val executor = ScenarioExecutor(root, folder)
        val closeHook = Thread(executor::close)
        Runtime.getRuntime().addShutdownHook(closeHook)
        try {
            executor.use { ScenarioGrammar.parseSteps(file.readText()).forEach { step -> runStep(it, step) } }
            println("  passed")
            return true
        } catch (failure: ScenarioFailure) {
            println("  FAILED ${file.path}:${failure.line}: ${failure.message}")
            println("  logs are in ${folder.path}")
            return false
        } finally {
            Runtime.getRuntime().removeShutdownHook(closeHook)
        }
    }

    /** Prints how many of [total] scenarios passed and returns the exit code: 0 if none [failed], otherwise 1. */
    fun exitCode(total: Int, failed: Int): Int {
        println("${total - failed} passed, $failed failed")
        return if (failed == 0) 0 else 1
    }

    private fun runStep(executor: ScenarioExecutor, step: ScenarioStep) {
        try {
            executor.execute(step)
        } catch (failure: ScenarioFailure) {
            throw failure
        } catch (failure: Exception) {
            throw ScenarioFailure(step.line, "step \"${step.verb}\" failed: $failure")
        }
    }
}
