package marigoldward.support.net

import java.io.IOException
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

/**
 * Finds free ports for the processes of benches and tests.
 *
 * They lie below the range from which the operating system assigns ports to outgoing connections, so that no outgoing
 * connection takes one between the check and the moment at which a program binds it, or while it restarts. A process
 * finds no port twice before it has tried all.
 */
public object FreePorts {
    private const val BACKLOG = 1
    private const val FIRST_PORT = 12_000
    private const val PORTS = 20_000
    private val cursor = AtomicInteger(Random.nextInt(PORTS))

    /** Returns [count] different ports, each free at all addresses when checked, or fewer if there are not enough. */
    public fun find(count: Int): List<Int> =
        generateSequence { FIRST_PORT + Math.floorMod(cursor.getAndIncrement(), PORTS) }
            .take(PORTS)
            .filter(::isFree)
            .take(count)
            .toList()

    /**
     * Returns a port that was free at all addresses when checked.
     *
     * @throws IllegalStateException if none is free
     */
    public fun next(): Int = checkNotNull(find(1).firstOrNull()) { "no port is free" }

    private fun isFree(port: Int): Boolean = try {
        ServerSocket(port, BACKLOG).close()
        true
    } catch (_: IOException) {
        false
    }
}
