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
import java.util.concurrent.CountDownLatch
import kotlin.system.exitProcess

/** What every program does at its start and end. */
public object Program {
    /** The version of all programs. */
    public const val VERSION: String = "0.1.0"

    /** The exit code for a bad command line or bad settings. */
    public const val EXIT_USAGE: Int = 2

    /** The exit code of a process that could not start, for example since an address is in use. */
    public const val EXIT_START: Int = 1

    private val log = EventLog.fromName("program")

    /** Handles `--version`, then reads `--settings FILE` and returns the file. */
    public fun settingsFile(name: String, arguments: Array<String>): File {
        if (arguments.singleOrNull() == "--version") printVersion(name)
        val parser = ArgParser(name)
        val settings by parser
            .option(ArgType.String, fullName = "settings", description = "INI settings file of this process")
            .required()
        parser.parse(arguments)
        return File(settings)
    }

    /** Prints `NAME VERSION` and ends the process with 0. */
    public fun printVersion(name: String): Nothing {
        println("$name $VERSION")
        exitProcess(0)
    }

    /** Reads [file] and passes it to [read]; prints every problem and ends the process if there is one. */
    public fun <T> loadSettings(file: File, read: (IniDocument, ProblemList) -> T): T {
        val source = readSource(file)
        return when (val document = IniDocument.parse(source)) {
            is Outcome.Failure -> refuse(document.error)
            is Outcome.Success -> {
                val problems = ProblemList.create()
                val settings = read(document.value, problems)
                if (problems.isNotEmpty()) refuse(problems.toList())
                settings
            }
        }
    }

    /** Reads the settings in [text] of [file] again; null, with a line in the log, if they are not valid. */
    public fun <T> reloadSettings(file: File, text: String, read: (IniDocument, ProblemList) -> T): T? {
        val problems = ProblemList.create()
        val settings =
            when (val document = IniDocument.parse(SourceFile(file.path, text))) {
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

    /** Returns what [start] starts; if it can't, prints why and ends the process with [EXIT_START]. */
    public fun <T> startOrExit(start: () -> T): T = try {
        start()
    } catch (failure: Exception) {
        val cause = generateSequence<Throwable>(failure) { it.cause }.last()
        System.err.println("cannot start: ${cause.javaClass.simpleName}: ${cause.message}")
        exitProcess(EXIT_START)
    }

    /** Calls [stop] when the process is asked to end, and waits for that. */
    public fun runUntilStopped(stop: () -> Unit): Nothing {
        val latch = CountDownLatch(1)
        Runtime.getRuntime().addShutdownHook(
            Thread {
                stop()
                EventLog.flush()
                latch.countDown()
            },
        )
        latch.await()
        throw IllegalStateException("the shutdown hook ended without the process")
    }

    /** Prints [problems] and ends the process with [EXIT_USAGE]. */
    public fun refuse(problems: List<SettingsProblem>): Nothing {
        problems.forEach { System.err.println(it) }
        exitProcess(EXIT_USAGE)
    }

    private fun readSource(file: File): SourceFile = try {
        SourceFile(file.path, file.readText())
    } catch (failure: IOException) {
        refuse(listOf(SettingsProblem(file.path, 0, "cannot be read: ${failure.message}")))
    }
}
