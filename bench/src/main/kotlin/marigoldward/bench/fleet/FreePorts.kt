package marigoldward.bench.fleet

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.random.Random

/**
 * Finds free ports of the loopback address.
 *
 * They lie below the range from which the operating system assigns ports to outgoing connections, so that no outgoing
 * connection takes one between the check and the moment at which a program binds it.
 */
public object FreePorts {
    private const val BACKLOG = 1
    private const val FIRST_PORT = 12_000
    private const val LAST_PORT = 31_999

    /** Returns [count] different ports that were free when checked, or fewer if there are not enough. */
    public fun find(count: Int): List<Int> {
        val start = Random.nextInt(FIRST_PORT, LAST_PORT)
        val candidates = (start..LAST_PORT) + (FIRST_PORT until start)
        return candidates.asSequence().filter(::isFree).take(count).toList()
    }

    private fun isFree(port: Int): Boolean = try {
        ServerSocket(port, BACKLOG, InetAddress.getLoopbackAddress()).close()
        true
    } catch (_: IOException) {
        false
    }
}
