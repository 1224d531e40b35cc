package marigoldward.control.storage

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoBuf
import marigoldward.core.Outcome
import marigoldward.core.replication.LogEntry
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption
import java.nio.file.StandardOpenOption

/**
 * The file that holds the log entries after the snapshot, one checksummed record each.
 *
 * Nothing is durable before [sync]. A failed write leaves the file as it was after the last [sync]. Each record says
 * how much of the file was durable when it was written, so that damage to what was durable can be told from writes
 * that a loss of power left undone, of which any part may be there.
 */
@OptIn(ExperimentalSerializationApi::class)
internal class EntryLog private constructor(
    private val path: Path,
    private var channel: FileChannel,
    private var offsets: List<Position>,
) : AutoCloseable {
    private data class Position(val index: Long, val offset: Long)

    private var syncedOffsets = offsets
    private var syncedBytes = channel.size()

    /** The size of the file in bytes. */
    val sizeBytes: Long get() = channel.size()

    /**
     * Drops every entry from the first of [entries] on and writes [entries] there.
     *
     * @throws IOException if the disk does not take them
     */
    fun write(entries: List<LogEntry>) {
        truncateFrom(entries.first().index)
        val added = ArrayList<Position>(entries.size)
        entries.forEach { entry ->
            added.add(Position(entry.index, channel.position()))
            channel.writeFully(frame(encode(Record(syncedBytes, entry))))
        }
        offsets = offsets + added
    }

    /** Makes everything written durable. */
    fun sync() {
        channel.force(false)
        syncedOffsets = offsets
        syncedBytes = channel.position()
    }

    /** Takes back what was written since the last [sync]. */
    fun rollBack() {
        channel.truncate(syncedBytes)
        channel.position(syncedBytes)
        offsets = syncedOffsets
    }

    /** Replaces the whole content by [entries]; it is durable when this returns. */
    fun rewrite(entries: List<LogEntry>) {
        val temporary = path.resolveSibling("${path.fileName}.new")
        Files.deleteIfExists(temporary)
        val replacement = EntryLog(temporary, openChannel(temporary), emptyList())
        if (entries.isNotEmpty()) replacement.write(entries)
        replacement.sync()
        Files.move(temporary, path, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING)
        syncFolder(path.parent)
        channel.close()
        channel = replacement.channel
        offsets = replacement.offsets
        syncedOffsets = offsets
        syncedBytes = channel.position()
    }

    override fun close() {
        channel.close()
    }

    private fun truncateFrom(index: Long) {
        val first = offsets.firstOrNull()?.index ?: return
        val keep = (index - first).coerceIn(0, offsets.size.toLong()).toInt()
        if (keep == offsets.size) return
        val end = offsets[keep].offset
        channel.truncate(end)
        channel.position(end)
        channel.force(true)
        syncedBytes = minOf(syncedBytes, end)
        offsets = offsets.subList(0, keep)
        syncedOffsets = offsets
    }

    /** One [entry], and how much of the file was durable when it was written, in bytes. */
    @Serializable
    private data class Record(val durableBytes: Long, val entry: LogEntry)

    /** What a log file held when it was opened. */
    data class Opened(val log: EntryLog, val entries: List<LogEntry>, val tornBytes: Long)

    companion object {
        /** Opens the file at [path]: a torn tail is cut off, damage before valid records is a problem. */
        fun open(path: Path): Outcome<Opened, StorageProblem> {
            val data = if (Files.exists(path)) ByteBuffer.wrap(Files.readAllBytes(path)) else ByteBuffer.allocate(0)
            val entries = ArrayList<LogEntry>()
            val positions = ArrayList<Position>()
            var offset = 0
            while (true) {
                val payload = unframeOrNull(data, offset) ?: break
                val entry = decode(payload).entry
                positions.add(Position(entry.index, offset.toLong()))
                entries.add(entry)
                offset += HEADER_BYTES + payload.size
            }
            if (durableBytes(data, offset) > offset) {
                return Outcome.Failure(StorageProblem.Corrupt(path.toString(), offset.toLong()))
            }
            val channel = openChannel(path)
            channel.truncate(offset.toLong())
            channel.position(offset.toLong())
            channel.force(true)
            val tornBytes = data.limit() - offset.toLong()
            return Outcome.Success(Opened(EntryLog(path, channel, positions), entries, tornBytes))
        }

        /** How much of the file was durable by the records that stand after [offset], in bytes. */
        private fun durableBytes(data: ByteBuffer, offset: Int): Long = (offset + 1..data.limit() - HEADER_BYTES)
            .mapNotNull { unframeOrNull(data, it) }
            .maxOfOrNull { decode(it).durableBytes } ?: 0

        private fun encode(record: Record): ByteArray = ProtoBuf.encodeToByteArray(Record.serializer(), record)

        private fun decode(payload: ByteArray): Record = ProtoBuf.decodeFromByteArray(Record.serializer(), payload)

        private fun openChannel(path: Path): FileChannel =
            FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)
    }
}
