package marigoldward.bench.load

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.serialization.json.Json
import marigoldward.support.program.Program
import java.io.File
import kotlin.system.exitProcess

private const val PROGRAM = "marigoldward-load"
private const val DRAIN_TIMEOUT_MILLIS = 180_000L
private const val MILLIS_PER_SECOND = 1_000L
private const val OUTPUT_HEAVY_FACTOR = 4

/** Sends an open-loop load, prints its figures and writes them and a plot to files named after `--output`. */
public fun main(arguments: Array<String>) {
    if (arguments.singleOrNull() == "--version") Program.printVersion(PROGRAM)
    val parser = ArgParser(PROGRAM)
    val settingsFile by parser.option(ArgType.String, "settings", description = "INI settings of the load").required()
    val output by parser.option(ArgType.String, "output", description = "result files without suffix").default("load")
    parser.parse(arguments)
    val settings = Program.loadSettings(File(settingsFile), LoadSettings::read)
    val balancer = Balancer.start(settings.entries)
    val results = settings.classes.map { LoadPlot.ClassResults(it.className, run(settings, it, balancer)) }
    val summary = LoadSummary(settings.classes.zip(results).map { (load, group) -> summarise(load, group) })
    summary.classes.forEach(::println)
    File("$output.json").writeText(Json.encodeToString(LoadSummary.serializer(), summary))
    LoadPlot.write(File(output), results)
    balancer.close()
    val failedRequests = summary.classes.sumOf { it.other }
    exitProcess(if (failedRequests == 0) 0 else 1)
}

private fun summarise(load: LoadSettings.ClassLoad, group: LoadPlot.ClassResults): LoadSummary.ClassSummary =
    LoadSummary.of(load.className, group.results, load.firstTokenTargetMillis, load.betweenTokensTargetMillis)

/** Runs the phases of one class; every second phase has shorter prompts and longer answers. */
private fun run(settings: LoadSettings, load: LoadSettings.ClassLoad, balancer: Balancer): List<LoadRun.TimedResult> {
    val phases = (settings.seconds + settings.phaseSeconds - 1) / settings.phaseSeconds
    return (0 until phases).flatMap { phase ->
        val seconds = minOf(settings.phaseSeconds, settings.seconds - phase * settings.phaseSeconds)
        val spec = loadSpec(settings, load, phase, seconds)
        val run = LoadRun.start(spec, balancer)
        run.await(seconds * MILLIS_PER_SECOND + DRAIN_TIMEOUT_MILLIS)
        val startMillis = phase * settings.phaseSeconds * MILLIS_PER_SECOND
        run.results.map { it.copy(dueMillis = it.dueMillis + startMillis) }
    }
}

private fun loadSpec(settings: LoadSettings, load: LoadSettings.ClassLoad, phase: Int, seconds: Int): LoadSpec {
    val isOutputHeavy = phase % 2 == 1
    return LoadSpec(
        model = settings.model,
        className = load.className,
        caller = "load-${load.className}",
        requestsPerSecond = load.requestsPerSecond.toDouble(),
        requests = load.requestsPerSecond * seconds,
        promptCharacters = if (isOutputHeavy) {
            maxOf(
                1,
                load.promptCharacters / OUTPUT_HEAVY_FACTOR,
            )
        } else {
            load.promptCharacters
        },
        maxTokens = if (isOutputHeavy) load.maxTokens * OUTPUT_HEAVY_FACTOR else load.maxTokens,
        sharedPrefixPercent = load.sharedPrefixPercent,
        marker = "plain",
        isRepeated = false,
        seed = settings.seed + phase,
    )
}
