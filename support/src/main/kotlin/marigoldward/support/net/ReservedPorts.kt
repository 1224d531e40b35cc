package marigoldward.support.net

import marigoldward.support.log.EventLog
import java.io.IOException
import java.net.ServerSocket
import java.nio.channels.FileChannel
import java.nio.channels.OverlappingFileLockException
import java.nio.file.Path
import java.nio.file.StandardOpenOption
import kotlin.random.Random

/**
 * Finds free ports in blocks that this process holds until it ends, so that no two processes that use the same [file]
 * find the same port. A process holds a block by a lock on one byte of the file, which the system releases.
 *
 * Takes a further block when all ports of the blocks that it holds were tried, up to [MAX_PORTS] ports or what one call
 * needs; after that, tries those again. If it can't hold any block, it logs so and tries all ports, as others may.
 *
 * @param file created if it doesn't exist; no other part of the process may open it, which would release the locks
 * @param firstPort the first port of the first block
 * @param blockCount the number of blocks, of [PORTS_PER_BLOCK] ports each
 * @param firstBlock the block to try first
 */
internal class ReservedPorts(
    private val file: Path,
    private val firstPort: Int,
    private val blockCount: Int,
    private val firstBlock: Int = Random.nextInt(blockCount),
) {
    private val channel: FileChannel? by lazy(::openOrNull)
    private val heldBlocks = HashSet<Int>()
    private val ports = ArrayList<Int>()
    private var isShared = false
    private var cursor = 0

    /** Returns [count] different ports, each free at all addresses when checked, or fewer if there are not enough. */
    @Synchronized
    fun find(count: Int): List<Int> {
        val found = ArrayList<Int>()
        var triedCount = 0
        while (found.size < count) {
            val isBlockDue = cursor == ports.size && ports.size < MAX_PORTS
            if (isBlockDue || triedCount == ports.size) takeBlock()
            if (triedCount == ports.size) break
            if (cursor == ports.size) cursor = 0
            val port = ports[cursor++]
            triedCount++
            if (isFree(port)) found += port
        }
        return found
    }

    private fun takeBlock() {
        if (isShared) return
        val blocks = (0 until blockCount).map { (firstBlock + it) % blockCount }
        val block = blocks.firstOrNull { it !in heldBlocks && hold(it) }
        if (block != null) {
            heldBlocks += block
            cursor = ports.size
            ports += portsOf(block)
        } else if (ports.isEmpty()) {
            log.warn("ports_not_reserved") { field("file", file) }
            isShared = true
            ports += (0 until blockCount).flatMap(::portsOf)
            cursor = Random.nextInt(ports.size)
        }
    }

    private fun portsOf(block: Int): List<Int> = List(PORTS_PER_BLOCK) { firstPort + block * PORTS_PER_BLOCK + it }

    private fun hold(block: Int): Boolean = try {
        channel?.tryLock(block.toLong(), 1, false) != null
    } catch (_: OverlappingFileLockException) {
        false
    } catch (_: IOException) {
        false
    }

    private fun openOrNull(): FileChannel? = try {
        FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE)
    } catch (_: IOException) {
        null
    }

    private fun isFree(port: Int): Boolean = try {
        ServerSocket(port, BACKLOG).close()
        true
    } catch (_: IOException) {
        false
    }

    companion object {
        const val PORTS_PER_BLOCK = 200

        /** Leaves blocks for others where a process takes ports all the time. */
        const val MAX_PORTS = 2_000
        private const val BACKLOG = 1
        private val log = EventLog.fromName("ports")
    }
}
