package marigoldward.bench.fleet

import marigoldward.support.time.MonotonicClock
import java.io.File
import java.net.HttpURLConnection
import java.net.URI

/**
 * A complete system of real processes on the loopback address, with stand-ins for the upstreams and the platform.
 *
 * Calls between the processes go through forwarders, so that link faults can be injected.
 */
public class Fleet private constructor(
    private val folder: File,
    private val programs: File,
    private val layout: FleetLayout,
) : AutoCloseable {
    private val controls = names("control", layout.controls)
    private val entries = names("entry", layout.entries)
    private val controllers = names("controller", layout.controllers)
    private val ports = PortAllocation.allocate(controls + entries + controllers + STANDIN)
    private val forwarders = ForwarderTable(ports)
    private val processes = (listOf(STANDIN) + controls + entries + controllers).associateWith(::createProcess)
    private val files = FleetSettingsFiles(folder, layout, ports, forwarders)

    /** The names of the entries. */
    public val entryNames: List<String> get() = entries

    /** The names of the control instances. */
    public val controlNames: List<String> get() = controls

    /** The names of the controllers. */
    public val controllerNames: List<String> get() = controllers

    /** The settings file of the operators' command line. */
    public val operatorSettings: File get() = File(folder, "operator.ini")

    /** Returns the address at which the entry [name] serves callers. */
    public fun callerAddress(name: String): String = "$LOOPBACK:${ports.callerPort(name)}"

    /** Returns the address of the operators' interface of the process [name]. */
    public fun operatorAddress(name: String): String = "$LOOPBACK:${ports.operatorPort(name)}"

    /** The address of the interface that controls and observes the stand-ins. */
    public val standinAddress: String get() = "$LOOPBACK:${ports.listenPort(STANDIN)}"

    /** The cluster key, which also authorises requests to the operators' interfaces. */
    public val clusterKey: String get() = FleetSettingsFiles.CLUSTER_KEY

    /** Returns the process id of [name], or null if it was never started. */
    public fun pidOrNull(name: String): Long? = processOf(name).pid

    /** Returns the data folder of the control instance [name]. */
    public fun dataFolder(name: String): File = File(folder, "$name-data")

    /** Writes all settings, initialises the cluster of control instances and starts all processes. */
    public fun start() {
        files.write(controls, entries, controllers)
        controls.forEach {
            runToEnd(listOf(programPath(it), "--settings", files.fileOf(it).path, "--init-new-cluster"))
        }
        processes.values.forEach(FleetProcess::start)
    }

    /** Starts the process [name], which must not be running. */
    public fun start(name: String): Unit = processOf(name).start()

    /** Sends SIGTERM to [name] and kills it after a time-out; returns whether it ended before that. */
    public fun stop(name: String): Boolean = processOf(name).stop(STOP_TIMEOUT_MILLIS)

    /** Sends SIGKILL to [name] and waits for its end. */
    public fun kill(name: String): Unit = processOf(name).kill()

    /** Suspends [name] by SIGSTOP. */
    public fun freeze(name: String): Unit = processOf(name).sendSignal("STOP")

    /** Resumes [name] by SIGCONT. */
    public fun resume(name: String): Unit = processOf(name).sendSignal("CONT")

    /** Deletes the data folder of the control instance [name]. */
    public fun deleteData(name: String) {
        File(folder, "$name-data").deleteRecursively()
    }

    /** Holds back all data between [name] and the other processes, in both directions. */
    public fun isolate(name: String): Unit = forwarders.setFault(name, LinkFault.Isolated)

    /** Holds back all data from the other processes to [name]. */
    public fun holdIncoming(name: String): Unit = forwarders.setFault(name, LinkFault.IncomingHeld)

    /** Holds back all data from [name] to the other processes. */
    public fun holdOutgoing(name: String): Unit = forwarders.setFault(name, LinkFault.OutgoingHeld)

    /** Delays all data between [name] and the other processes by [millis] milliseconds in each direction. */
    public fun delay(name: String, millis: Long): Unit = forwarders.setFault(name, LinkFault.Delayed(millis))

    /** Ends the effect of [isolate], [holdIncoming], [holdOutgoing] or [delay] on [name]. */
    public fun clearLinkFault(name: String): Unit = forwarders.setFault(name, null)

    /** Resets the open connections between [name] and the other processes. */
    public fun resetConnections(name: String): Unit = forwarders.reset(name)

    /** Injects a fault of [kind] into the emulated [upstream]; returns whether the stand-in knows both. */
    public fun injectFault(upstream: String, kind: String): Boolean =
        statusCodeOf("http://$standinAddress/faults?upstream=$upstream&kind=$kind", "POST") == OK

    /** Returns the report of the work that the stand-ins received, as JSON text. */
    public fun observed(): String = URI("http://$standinAddress/observed").toURL().readText()

    /** Runs the operators' command line with [arguments]. */
    public fun runCommandLine(arguments: List<String>): ProgramResult {
        val command = listOf(File(programs, "marigoldward").path) + arguments
        val process = ProcessBuilder(command).redirectErrorStream(true).start()
        val text = process.inputStream.readBytes().toString(Charsets.UTF_8)
        return ProgramResult(process.waitFor(), text)
    }

    /** Waits up to [timeoutMillis] milliseconds until every entry is ready; returns whether they are. */
    public fun awaitReady(timeoutMillis: Long): Boolean =
        await(timeoutMillis) { entries.all { statusCodeOf("http://${operatorAddress(it)}/ready", "GET") == OK } }

    /**
     * Waits up to [timeoutMillis] milliseconds until [condition] holds; returns whether it does.
     *
     * The condition is checked at least once.
     */
    public fun await(timeoutMillis: Long, condition: () -> Boolean): Boolean {
        val endMillis = MonotonicClock.nowMillis() + timeoutMillis
        while (MonotonicClock.nowMillis() < endMillis) {
            if (condition()) return true
            Thread.sleep(POLL_PERIOD_MILLIS)
        }
        return condition()
    }

    override fun close() {
        val running = processes.values.filter { it.isAlive }
        running.forEach { runCatching { it.sendSignal("CONT") } }
        running.forEach { it.kill() }
        forwarders.close()
    }

    private fun runToEnd(command: List<String>) {
        val process = ProcessBuilder(command).redirectErrorStream(true).start()
        val text = process.inputStream.readBytes().toString(Charsets.UTF_8)
        check(process.waitFor() == 0) { "${command.first()} failed: $text" }
    }

    private fun statusCodeOf(url: String, method: String): Int = runCatching {
        val connection = URI(url).toURL().openConnection() as HttpURLConnection
        connection.requestMethod = method
        connection.connectTimeout = HTTP_TIMEOUT_MILLIS
        connection.readTimeout = HTTP_TIMEOUT_MILLIS
        connection.responseCode
    }.getOrDefault(0)

    private fun createProcess(name: String): FleetProcess {
        val settings = File(folder, "$name.ini").path
        return FleetProcess(name, listOf(programPath(name), "--settings", settings), File(folder, "$name.log"))
    }

    private fun programPath(name: String): String = File(programs, "marigoldward-${name.substringBefore('-')}").path

    private fun processOf(name: String): FleetProcess =
        requireNotNull(processes[name]) { "the fleet has no process \"$name\"" }

    private fun names(role: String, count: Int): List<String> = (1..count).map { "$role-$it" }

    /** Creates fleets. */
    public companion object {
        internal const val LOOPBACK: String = "127.0.0.1"
        internal const val STANDIN: String = "standin"
        private const val OK = 200
        private const val POLL_PERIOD_MILLIS = 50L
        private const val STOP_TIMEOUT_MILLIS = 30_000L
        private const val HTTP_TIMEOUT_MILLIS = 1_000

        /** Returns a fleet of [layout] that keeps its files in [folder] and runs the programs in [programs]. */
        public fun create(folder: File, programs: File, layout: FleetLayout): Fleet {
            folder.mkdirs()
            return Fleet(folder.absoluteFile, programs.absoluteFile, layout)
        }
    }
}
