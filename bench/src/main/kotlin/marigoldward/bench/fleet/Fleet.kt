package marigoldward.bench.fleet

import marigoldward.support.time.MonotonicClock
import java.io.File
import java.net.HttpURLConnection
import java.net.URI

/**
 * A whole system of real processes on the loopback address, with stand-ins for everything outside it.
 *
 * Calls between the processes pass forwarders, so any two of them can be cut off from each other.
 */
public class Fleet private constructor(
    private val folder: File,
    private val programs: File,
    private val layout: FleetLayout,
) : AutoCloseable {
    private val controls = names("control", layout.controls)
    private val entries = names("entry", layout.entries)
    private val controllers = names("controller", layout.controllers)
    private val ports = PortPlan.take(controls + entries + controllers + STANDIN)
    private val forwarders = ForwarderTable(ports)
    private val processes = (listOf(STANDIN) + controls + entries + controllers).associateWith(::process)
    private val files = FleetFiles(folder, layout, ports, forwarders)

    /** The names of the entries. */
    public val entryNames: List<String> get() = entries

    /** The names of the control instances. */
    public val controlNames: List<String> get() = controls

    /** The names of the controllers. */
    public val controllerNames: List<String> get() = controllers

    /** The settings file of the operators' program. */
    public val operatorSettings: File get() = File(folder, "operator.ini")

    /** The callers' address of the entry [name]. */
    public fun callerAddress(name: String): String = "$LOOPBACK:${ports.callers(name)}"

    /** The operators' address of the process [name]. */
    public fun operatorAddress(name: String): String = "$LOOPBACK:${ports.operators(name)}"

    /** The address of the stand-ins' own interface. */
    public val standinAddress: String get() = "$LOOPBACK:${ports.processes(STANDIN)}"

    /** The key of the operators' interfaces. */
    public val key: String get() = FleetFiles.KEY

    /** The process id of [name], if it was started. */
    public fun pidOrNull(name: String): Long? = processOf(name).pid

    /** The data folder of the control instance [name]. */
    public fun dataFolder(name: String): File = File(folder, "$name-data")

    /** Writes all settings, prepares the control instances and starts everything. */
    public fun start() {
        files.write(controls, entries, controllers)
        controls.forEach { run(listOf(program(it), "--settings", files.settings(it).path, "--init-new-cluster")) }
        processes.values.forEach(FleetProcess::start)
    }

    /** Starts [name] again. */
    public fun start(name: String): Unit = processOf(name).start()

    /** Asks [name] to end; returns whether it did so in time. */
    public fun stop(name: String): Boolean = processOf(name).stop(STOP_MILLIS)

    /** Ends [name] at once. */
    public fun kill(name: String): Unit = processOf(name).kill()

    /** Stops [name] where it is. */
    public fun freeze(name: String): Unit = processOf(name).signal("STOP")

    /** Lets [name] go on. */
    public fun thaw(name: String): Unit = processOf(name).signal("CONT")

    /** Deletes the data folder of the control instance [name]. */
    public fun wipe(name: String) {
        File(folder, "$name-data").deleteRecursively()
    }

    /** Cuts [name] off from all other processes of the system, in both directions. */
    public fun cut(name: String): Unit = forwarders.setFault(name, LinkFault.Cut)

    /** Lets nothing from the other processes reach [name]. */
    public fun deafen(name: String): Unit = forwarders.setFault(name, LinkFault.Deaf)

    /** Lets nothing that [name] sends reach the other processes. */
    public fun mute(name: String): Unit = forwarders.setFault(name, LinkFault.Mute)

    /** Delays everything between [name] and the other processes by [millis] milliseconds. */
    public fun slow(name: String, millis: Long): Unit = forwarders.setFault(name, LinkFault.Slow(millis))

    /** Ends whatever [cut], [deafen], [mute] or [slow] brought about at [name]. */
    public fun heal(name: String): Unit = forwarders.setFault(name, null)

    /** Resets the connections between [name] and the other processes that are open now. */
    public fun reset(name: String): Unit = forwarders.reset(name)

    /** Brings about a fault of the stand-in [upstream]. */
    public fun fault(upstream: String, kind: String): Boolean =
        status("http://$standinAddress/faults?upstream=$upstream&kind=$kind", "POST") == OK

    /** Returns what the stand-ins saw, as JSON text. */
    public fun observed(): String = URI("http://$standinAddress/observed").toURL().readText()

    /** Runs the operators' program with [arguments] and returns what it printed and its exit code. */
    public fun operate(arguments: List<String>): ProgramResult {
        val command = listOf(File(programs, "marigoldward").path) + arguments
        val process = ProcessBuilder(command).redirectErrorStream(true).start()
        val text = process.inputStream.readBytes().toString(Charsets.UTF_8)
        return ProgramResult(process.waitFor(), text)
    }

    /** Waits until every entry is ready, at most [timeoutMillis]; returns whether they are. */
    public fun awaitReady(timeoutMillis: Long): Boolean =
        await(timeoutMillis) { entries.all { status("http://${operatorAddress(it)}/ready", "GET") == OK } }

    /** Waits until [condition] holds, at most [timeoutMillis]; returns whether it does. */
    public fun await(timeoutMillis: Long, condition: () -> Boolean): Boolean {
        val endMillis = MonotonicClock.nowMillis() + timeoutMillis
        while (MonotonicClock.nowMillis() < endMillis) {
            if (condition()) return true
            Thread.sleep(POLL_MILLIS)
        }
        return condition()
    }

    override fun close() {
        val running = processes.values.filter { it.isAlive }
        running.forEach { runCatching { it.signal("CONT") } }
        running.forEach { it.kill() }
        forwarders.close()
    }

    private fun run(command: List<String>) {
        val process = ProcessBuilder(command).redirectErrorStream(true).start()
        val text = process.inputStream.readBytes().toString(Charsets.UTF_8)
        check(process.waitFor() == 0) { "${command.first()} failed: $text" }
    }

    private fun status(url: String, method: String): Int = runCatching {
        val connection = URI(url).toURL().openConnection() as HttpURLConnection
        connection.requestMethod = method
        connection.connectTimeout = HTTP_MILLIS
        connection.readTimeout = HTTP_MILLIS
        connection.responseCode
    }.getOrDefault(0)

    private fun process(name: String): FleetProcess {
        val settings = File(folder, "$name.ini").path
        return FleetProcess(name, listOf(program(name), "--settings", settings), File(folder, "$name.log"))
    }

    private fun program(name: String): String = File(programs, "marigoldward-${name.substringBefore('-')}").path

    private fun processOf(name: String): FleetProcess =
        requireNotNull(processes[name]) { "the fleet has no process \"$name\"" }

    private fun names(role: String, count: Int): List<String> = (1..count).map { "$role-$it" }

    /** Creates fleets. */
    public companion object {
        internal const val LOOPBACK: String = "127.0.0.1"
        internal const val STANDIN: String = "standin"
        private const val OK = 200
        private const val POLL_MILLIS = 50L
        private const val STOP_MILLIS = 30_000L
        private const val HTTP_MILLIS = 1_000

        /** Returns a fleet of [layout] whose files are in [folder] and whose programs are in [programs]. */
        public fun create(folder: File, programs: File, layout: FleetLayout): Fleet {
            folder.mkdirs()
            return Fleet(folder.absoluteFile, programs.absoluteFile, layout)
        }
    }
}
