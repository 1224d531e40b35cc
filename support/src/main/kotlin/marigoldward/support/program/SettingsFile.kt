package marigoldward.support.program

import marigoldward.core.Outcome
import marigoldward.core.config.SourceFile
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
    public fun <T> load(file: File, read: (IniDocument, ProblemList) -> T): Outcome<Loaded<T>, List<SettingsProblem>> {
        val source =
            try {
                SourceFile(file.path, file.readText())
            } catch (failure: IOException) {
                return Outcome.Failure(listOf(SettingsProblem(file.path, 0, "cannot be read: ${failure.message}")))
            }
        return parse(source, read)
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
     */
    public fun <T> awaitValid(
        file: File,
        maxWaitMillis: Long = MAX_WAIT_MILLIS,
        read: (IniDocument, ProblemList) -> T,
    ): Outcome<Loaded<T>, List<SettingsProblem>> {
        val startMillis = MonotonicClock.nowMillis()
        val first = load(file, read)
        if (first !is Outcome.Failure) return first
        log.warn("settings_awaited") {
            field("file", file)
            field("problem", first.error.first())
            field("problems", first.error.size)
            field("max_wait_ms", maxWaitMillis)
        }
        while (true) {
            Thread.sleep(RETRY_MILLIS)
            val result = load(file, read)
            val waitedMillis = MonotonicClock.nowMillis() - startMillis
            if (result is Outcome.Success) {
                log.info("settings_valid") {
                    field("file", file)
                    field("waited_ms", waitedMillis)
                }
                return result
            }
            if (waitedMillis >= maxWaitMillis) return result
        }
    }
}
