package marigoldward.support.program

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.required
import marigoldward.core.Outcome
import marigoldward.core.config.SourceFile
import marigoldward.support.duty.BrokenInvariant
import marigoldward.support.log.EventLog
import marigoldward.support.settings.IniDocument
import marigoldward.support.settings.ProblemList
import marigoldward.support.settings.SettingsProblem
import java.io.File
import java.util.concurrent.CompletableFuture
import kotlin.system.exitProcess

/** Start and shutdown of a program: its command line, its settings file and its exit codes. */
public object Program {
    /** The version of all programs. */
    public const val VERSION: String = "0.1.0"

    /** The exit code after an invalid command line or invalid settings. */
    public const val EXIT_USAGE: Int = 2

    /** The exit code of a process that could not start, for example because an address is in use. */
    public const val EXIT_START: Int = 1

    private val log = EventLog.fromName("program")

    /**
     * Returns the file that the option `--settings FILE` names.
     *
     * With `--version` or an invalid command line it prints the version or a message and ends the process.
     */
    public fun settingsFile(name: String, arguments: Array<String>): File {
        if (arguments.singleOrNull() == "--version") printVersion(name)
        val parser = ArgParser(name)
        val settings by parser
            .option(ArgType.String, fullName = "settings", description = "INI settings file of this process")
            .required()
        parser.parse(arguments)
        return File(settings)
    }

    /** Prints `NAME VERSION` and ends the process with exit code 0. */
    public fun printVersion(name: String): Nothing {
        println("$name $VERSION")
        exitProcess(0)
    }

    /** Returns the settings that [read] gets from [file]. If there are problems, prints all and ends the process. */
    public fun <T> loadSettings(file: File, read: (IniDocument, ProblemList) -> T): T =
        when (val loaded = SettingsFile.load(file, read)) {
            is Outcome.Success -> loaded.value.settings
            is Outcome.Failure -> exitWithProblems(loaded.error)
        }

    /**
     * Returns the settings that [read] gets from [file], for a process that serves others and may start while its file
     * is being written.
     *
     * Reads a file that is missing or invalid again for [SettingsFile.MAX_WAIT_MILLIS]. Then prints all problems, logs
     * why the process ends, and ends it with [EXIT_USAGE].
     */
    public fun <T> awaitSettings(
        file: File,
        readSettled: ((IniDocument, ProblemList) -> T)? = null,
        read: (IniDocument, ProblemList) -> T,
    ): SettingsFile.Loaded<T> =
        when (val loaded = SettingsFile.awaitValid(file, readSettled = readSettled, read = read)) {
            is Outcome.Success -> loaded.value
            is Outcome.Failure -> endWithProblems("settings_not_valid", loaded.error)
        }

    /** Returns the settings in [source], the new content of a file, or logs the problems and returns null if invalid. */
    public fun <T> reloadSettings(source: SourceFile, read: (IniDocument, ProblemList) -> T): T? =
        when (val parsed = SettingsFile.parse(source, read)) {
            is Outcome.Success -> parsed.value.settings
            is Outcome.Failure -> {
                log.warn("settings_not_valid") {
                    field("problem", parsed.error.first())
                    field("problems", parsed.error.size)
                }
                null
            }
        }

    /**
     * Runs the program that [start] returns until the process is asked to terminate, and then closes it.
     *
     * A request to terminate that comes during the start takes effect after it, so that connections accepted by then
     * are not cut off; only a start that waits without a limit ends by [Termination.StartCancelled]. If [start] throws
     * anything else, prints and logs the cause and ends the process with [EXIT_START]. An exception that ends any other
     * thread is logged; the process goes on. An [Error] that ends a thread halts the process, as what the thread did is
     * done no more.
     */
    public fun run(start: () -> AutoCloseable): Nothing {
        BrokenInvariant.prepare()
        Thread.setDefaultUncaughtExceptionHandler(::onThreadEnd)
        val started = CompletableFuture<AutoCloseable?>()
        Runtime.getRuntime().addShutdownHook(
            Thread {
                Termination.request()
                started.join()?.close()
                EventLog.flush()
            },
        )
        try {
            started.complete(start())
        } catch (_: Termination.StartCancelled) {
            log.info("start_cancelled")
            started.complete(null)
        } catch (failure: Throwable) {
            started.complete(null)
            val cause = generateSequence<Throwable>(failure) { it.cause }.last()
            System.err.println("cannot start: ${cause.javaClass.simpleName}: ${cause.message}")
            logEnd("cannot_start", EXIT_START, failure)
            exitProcess(EXIT_START)
        }
        // The process ends with the shutdown hooks, while this thread still waits.
        while (true) Thread.sleep(Long.MAX_VALUE)
    }

    /** Logs that the process ends for [reason], prints [problems] and ends it with [EXIT_USAGE]. */
    public fun endWithProblems(reason: String, problems: List<SettingsProblem>): Nothing {
        logEnd(reason, EXIT_USAGE)
        EventLog.flush()
        exitWithProblems(problems)
    }

    /** Prints [problems] and ends the process with [EXIT_USAGE]. */
    public fun exitWithProblems(problems: List<SettingsProblem>): Nothing {
        problems.forEach { System.err.println(it) }
        exitProcess(EXIT_USAGE)
    }

    private fun logEnd(reason: String, exitCode: Int, failure: Throwable? = null) {
        log.warn("process_ends") {
            field("reason", reason)
            field("exit_code", exitCode)
            if (failure != null) field("error", failure.stackTraceToString())
        }
    }

    private fun onThreadEnd(thread: Thread, failure: Throwable) {
        if (failure is Error) BrokenInvariant.haltProcess(thread.name, failure)
        log.warn("thread_failed") {
            field("thread", thread.name)
            field("error", failure.stackTraceToString())
        }
    }
}
