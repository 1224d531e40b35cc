package marigoldward.bench.demo

import marigoldward.bench.client.CallerClient
import marigoldward.bench.client.CompletionRequest
import marigoldward.bench.fleet.Fleet
import marigoldward.bench.fleet.FleetLayout
import java.io.File
import kotlin.system.exitProcess

private const val READY_TIMEOUT_MILLIS = 30_000L
private const val MAX_PROBLEM_CHARACTERS = 40

/** Starts a complete system, sends one completion of each class and one booking, prints the status and stops it. */
public fun main(arguments: Array<String>) {
    val root = File(arguments.getOrElse(0) { "." })
    val folder = File(root, "run/demo")
    folder.deleteRecursively()
    val fleet = Fleet.create(folder, File(root, "bin"), FleetLayout.SVETLOBA)
    Runtime.getRuntime().addShutdownHook(Thread(fleet::close))
    val isRight = fleet.use { Demo(it, File(root, "examples/group")).run() }
    println(if (isRight) "demo: every answer was right" else "demo: failed; logs are in ${folder.path}")
    exitProcess(if (isRight) 0 else 1)
}

private class Demo(private val fleet: Fleet, private val declarations: File) {
    private val client = CallerClient.create()

    fun run(): Boolean {
        fleet.start()
        println("started: ${fleet.controlNames + fleet.entryNames + fleet.controllerNames} and the stand-ins")
        if (!applyDeclarations()) return false
        if (!fleet.awaitReady(READY_TIMEOUT_MILLIS)) {
            println("the entries are not ready after $READY_TIMEOUT_MILLIS ms")
            return false
        }
        val classes = listOf("urgent", "standard", "routine")
        val completions = classes.mapIndexed { position, name -> complete(position, name) }
        val isBooked = book()
        val status = runCommandLine("status")
        println(status.output.trimEnd())
        return completions.all { it } && isBooked && status.exitCode == 0
    }

    private fun applyDeclarations(): Boolean {
        var text = ""
        val isApplied = fleet.await(READY_TIMEOUT_MILLIS) {
            val result = runCommandLine("apply", declarations.path, "--expect-revision", "0", "--operation-id", "demo")
            text = result.output
            result.exitCode == 0
        }
        println("apply: ${text.trim()}")
        return isApplied
    }

    private fun complete(position: Int, className: String): Boolean {
        val entry = fleet.entryNames[position % fleet.entryNames.size]
        val prompt = "Draft a $className vase for the winter catalogue. ".repeat(PROMPT_REPEATS)
        val request = CompletionRequest("oblikovalec", prompt, MAX_TOKENS, className, "demo")
        val result = client.complete(fleet.callerAddress(entry), request)
        println(
            "completion: class=$className entry=$entry status=${result.statusCode} right=${result.isRight} " +
                "first_token_ms=${result.firstTokenMillis} total_ms=${result.totalMillis} " +
                "problem=${result.problem?.take(MAX_PROBLEM_CHARACTERS) ?: "none"}",
        )
        return result.isRight
    }

    private fun book(): Boolean {
        val entry = fleet.entryNames.last()
        val result = client.book(fleet.callerAddress(entry), "/rezervacije/slots", "slot-1", "demo-booking-1")
        println("booking: entry=$entry status=${result.statusCode} answer=\"${result.text}\"")
        return result.statusCode == STATUS_CREATED && result.text == "booked slot-1"
    }

    private fun runCommandLine(command: String, vararg arguments: String) =
        fleet.runCommandLine(listOf(command) + arguments + listOf("--settings", fleet.operatorSettings.path))

    private companion object {
        const val PROMPT_REPEATS = 40
        const val MAX_TOKENS = 24
        const val STATUS_CREATED = 201
    }
}
