package marigoldward.support.program

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.required
import marigoldward.core.Outcome
import marigoldward.core.config.SourceFile
import marigoldward.support.log.EventLog
import marigoldward.support.settings.IniDocument
import marigoldward.support.settings.ProblemList
import marigoldward.support.settings.SettingsProblem
import java.io.File
import java.io.IOException
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
        loadSettings(readSource(file), read)

    /** Returns the settings that [read] gets from [source]. If there are problems, prints all and ends the process. */
    public fun <T> loadSettings(source: SourceFile, read: (IniDocument, ProblemList) -> T): T =
        when (val document = IniDocument.parse(source)) {
            is Outcome.Failure -> exitWithProblems(document.error)
            is Outcome.Success -> {
                val problems = ProblemList.create()
                val settings = read(document.value, problems)
                if (problems.isNotEmpty()) exitWithProblems(problems.toList())
                settings
            }
        }

    /** Returns the settings in [source], the new content of a file, or logs a problem and returns null if invalid. */
    public fun <T> reloadSettings(source: SourceFile, read: (IniDocument, ProblemList) -> T): T? {
        val problems = ProblemList.create()
        val settings =
            when (val document = IniDocument.parse(source)) {
                is Outcome.Failure -> null.also {
                    document.error.forEach { problems.add(it.file, it.line, it.message) }
                }
                is Outcome.Success -> read(document.value, problems)
            }
        if (problems.isNotEmpty()) {
            log.warn("settings_not_valid") { field("problem", problems.toList().first()) }
            return null
        }
        return settings
    }

    /**
     * Runs the program that [start] returns until the process is asked to terminate, and then closes it.
     *
     * A request to terminate that comes during the start takes effect after it, so that connections accepted by then
     * are not cut off. If [start] throws, prints the cause and ends the process with [EXIT_START].
     */
    public fun run(start: () -> AutoCloseable): Nothing {
        val started = CompletableFuture<AutoCloseable?>()
        Runtime.getRuntime().addShutdownHook(
            Thread {
                started.join()?.close()
                EventLog.flush()
            },
        )
        try {
            started.complete(start())
        } catch (failure: Throwable) {
            started.complete(null)
            val cause = generateSequence<Throwable>(failure) { it.cause }.last()
            System.err.println("cannot start: ${cause.javaClass.simpleName}: ${cause.message}")
            exitProcess(EXIT_START)
        }
        // The process ends with the shutdown hooks, while this thread still waits.
        while (true) Thread.sleep(Long.MAX_VALUE)
    }

    /** Prints [problems] and ends the process with [EXIT_USAGE]. */
    public fun exitWithProblems(problems: List<SettingsProblem>): Nothing {
        problems.forEach { System.err.println(it) }
        exitProcess(EXIT_USAGE)
    }

    /** Returns the content of the settings file [file]. If it can't be read, prints that and ends the process. */
    public fun readSource(file: File): SourceFile = try {
        SourceFile(file.path, file.readText())
    } catch (failure: IOException) {
        exitWithProblems(listOf(SettingsProblem(file.path, 0, "cannot be read: ${failure.message}")))
    }
}
