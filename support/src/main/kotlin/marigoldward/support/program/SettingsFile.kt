package marigoldward.support.program

import marigoldward.core.Outcome
import marigoldward.core.config.SourceFile
import marigoldward.core.flatMap
import marigoldward.core.getOrNull
import marigoldward.support.log.EventLog
import marigoldward.support.settings.IniDocument
import marigoldward.support.settings.ProblemList
import marigoldward.support.settings.SettingsProblem
import marigoldward.support.time.MonotonicClock
import java.io.File
import java.io.IOException

/** Reads settings files. */
public object SettingsFile {
    /**
     * How long a process that starts reads its settings file again while the file is missing or invalid. Longer than
     * it takes to write a file, and short enough for an operator who waits for the problems of a wrong one.
     */
    public const val MAX_WAIT_MILLIS: Long = 5_000
    private const val RETRY_MILLIS = 50L
    private val log = EventLog.fromName("settings")

    /** The valid [settings] of a file, and the content from which they were read. */
    public data class Loaded<T>(val source: SourceFile, val settings: T)

    /** Returns the settings that [read] gets from [file], or all problems: at least one. */
    public fun <T> load(file: File, read: (IniDocument, ProblemList) -> T): Outcome<Loaded<T>, List<SettingsProblem>> =
        contentOf(file).flatMap { parse(it, read) }

    private fun contentOf(file: File): Outcome<SourceFile, List<SettingsProblem>> = try {
        Outcome.Success(SourceFile(file.path, file.readText()))
    } catch (failure: IOException) {
        Outcome.Failure(listOf(SettingsProblem(file.path, 0, "cannot be read: ${failure.message}")))
    }

    /** Returns the settings that [read] gets from [source], or all problems: at least one. */
    public fun <T> parse(
        source: SourceFile,
        read: (IniDocument, ProblemList) -> T,
    ): Outcome<Loaded<T>, List<SettingsProblem>> = when (val document = IniDocument.parse(source)) {
        is Outcome.Failure -> document
        is Outcome.Success -> {
            val problems = ProblemList.create()
            val settings = read(document.value, problems)
            if (problems.isNotEmpty()) Outcome.Failure(problems.toList()) else Outcome.Success(Loaded(source, settings))
        }
    }

    /**
     * Returns the same as [load], but reads a file that is missing or invalid again for [maxWaitMillis], because it may
     * be being written. Returns as soon as the file is valid; otherwise returns the problems of the last reading.
     *
     * @param readSettled gets the settings from a file that has stayed the same for [SettledContent.SETTLED_MILLIS], if
     *   [read] refuses it; null if [read] has the last word
     */
    public fun <T> awaitValid(
        file: File,
        maxWaitMillis: Long = MAX_WAIT_MILLIS,
        readSettled: ((IniDocument, ProblemList) -> T)? = null,
        read: (IniDocument, ProblemList) -> T,
    ): Outcome<Loaded<T>, List<SettingsProblem>> {
        val startMillis = MonotonicClock.nowMillis()
        val settled = SettledContent()
        var isLogged = false
        while (true) {
            val content = contentOf(file)
            val nowMillis = MonotonicClock.nowMillis()
            val isSettled = settled.isSettled(content.getOrNull()?.text, nowMillis)
            val result = content.flatMap { source ->
                val refused = parse(source, read)
                if (refused is Outcome.Success || readSettled == null || !isSettled) {
                    refused
                } else {
                    parse(source, readSettled).takeIf { it is Outcome.Success } ?: refused
                }
            }
            val waitedMillis = nowMillis - startMillis
            when (result) {
                is Outcome.Success -> {
                    if (isLogged) logValid(file, waitedMillis)
                    return result
                }
                is Outcome.Failure -> {
                    if (!isLogged) logAwaited(file, result.error, maxWaitMillis)
                    isLogged = true
                    if (waitedMillis >= maxWaitMillis) return result
                }
            }
            Thread.sleep(RETRY_MILLIS)
        }
    }

    private fun logAwaited(file: File, problems: List<SettingsProblem>, maxWaitMillis: Long) =
        log.warn("settings_awaited") {
            field("file", file)
            field("problem", problems.first())
            field("problems", problems.size)
            field("max_wait_ms", maxWaitMillis)
        }

    private fun logValid(file: File, waitedMillis: Long) = log.info("settings_valid") {
        field("file", file)
        field("waited_ms", waitedMillis)
    }
}
