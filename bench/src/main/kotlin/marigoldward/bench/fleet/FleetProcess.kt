package marigoldward.bench.fleet

import java.io.File
import java.util.concurrent.TimeUnit

/** A process of a fleet that can be started again after it has ended. */
internal class FleetProcess(val name: String, private val command: List<String>, private val logFile: File) {
    private var process: Process? = null

    val isAlive: Boolean get() = process?.isAlive ?: false
    val pid: Long? get() = process?.pid()

    fun start() {
        check(!isAlive) { "$name is already running" }
        process =
            ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile))
                .start()
    }

    /**
     * Sends SIGTERM and waits up to [timeoutMillis] milliseconds, then kills the process.
     *
     * Returns whether it ended without being killed.
     */
    fun stop(timeoutMillis: Long): Boolean {
        val running = process ?: return true
        running.destroy()
        val hasEnded = running.waitFor(timeoutMillis, TimeUnit.MILLISECONDS)
        if (!hasEnded) kill()
        return hasEnded
    }

    fun kill() {
        val running = process ?: return
        running.destroyForcibly()
        running.waitFor()
    }

    /** Sends a POSIX signal, named without its `SIG` prefix, such as `STOP` or `CONT`. */
    fun sendSignal(signal: String) {
        val target = checkNotNull(pid) { "$name was never started" }
        ProcessBuilder("kill", "-$signal", target.toString()).start().waitFor()
    }
}
