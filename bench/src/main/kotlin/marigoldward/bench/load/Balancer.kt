package marigoldward.bench.load

import java.io.IOException
import java.net.HttpURLConnection
import java.net.URI

/**
 * A round-robin load balancer over the entries that are ready, in place of the platform's.
 *
 * While no entry is ready, it continues to use those that were ready last.
 */
public class Balancer private constructor(private val entries: List<EntryAddresses>) : AutoCloseable {
    /** The addresses at which an entry serves callers and answers readiness probes. */
    public data class EntryAddresses(val callerAddress: String, val operatorAddress: String)

    @Volatile
    private var readyEntries = entries
    private val prober = Thread(::probeEntries, "balancer").apply { isDaemon = true }

    /** Returns the callers' address of the entry for the request [number]. */
    public fun addressFor(number: Int): String {
        val current = readyEntries
        return current[number % current.size].callerAddress
    }

    override fun close() {
        prober.interrupt()
    }

    private fun probeEntries() {
        try {
            while (true) {
                val answeringEntries = entries.filter(::isReady)
                if (answeringEntries.isNotEmpty()) readyEntries = answeringEntries
                Thread.sleep(PROBE_PERIOD_MILLIS)
            }
        } catch (_: InterruptedException) {
            return
        }
    }

    private fun isReady(entry: EntryAddresses): Boolean = try {
        val connection = URI("http://${entry.operatorAddress}/ready").toURL().openConnection() as HttpURLConnection
        connection.connectTimeout = PROBE_TIMEOUT_MILLIS
        connection.readTimeout = PROBE_TIMEOUT_MILLIS
        connection.responseCode == OK
    } catch (_: IOException) {
        false
    }

    /** Starts balancers. */
    public companion object {
        private const val PROBE_PERIOD_MILLIS = 100L
        private const val PROBE_TIMEOUT_MILLIS = 500
        private const val OK = 200

        /** Starts a balancer over [entries]. */
        public fun start(entries: List<EntryAddresses>): Balancer = Balancer(entries).apply { prober.start() }
    }
}
