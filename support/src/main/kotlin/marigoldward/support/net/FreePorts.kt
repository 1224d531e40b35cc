package marigoldward.support.net

import java.nio.file.Path

/**
 * Finds free ports for the processes of benches and tests.
 *
 * They lie below the range from which the operating system assigns ports to outgoing connections, so that no outgoing
 * connection takes one between the check and the moment at which a program binds it, or while it restarts. No two
 * processes with the same folder for temporary files find the same port while both run, unless that folder can't be
 * written to or all ports are held. A process finds no port twice before it has tried all that it holds.
 */
public object FreePorts {
    private const val FIRST_PORT = 12_000
    private const val BLOCKS = 100
    private val ports =
        ReservedPorts(Path.of(System.getProperty("java.io.tmpdir"), "marigoldward-ports"), FIRST_PORT, BLOCKS)

    /** Returns [count] different ports, each free at all addresses when checked, or fewer if there are not enough. */
    public fun find(count: Int): List<Int> = ports.find(count)

    /**
     * Returns a port that was free at all addresses when checked.
     *
     * @throws IllegalStateException if none is free
     */
    public fun next(): Int = checkNotNull(find(1).firstOrNull()) { "no port is free" }
}
