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
 * Written entries are durable after [sync]. After a failed write, [rollBack] removes what was written since the last
 * [sync]. Each record contains the number of bytes that were durable when it was written. This distinguishes damage to
 * durable records, which is an error, from an incomplete write after a loss of power, of which any part may be on disk.
 */
@OptIn(ExperimentalSerializationApi::class)
internal class EntryLog private constructor(
    private val path: Path,
    private var channel: FileChannel,
    private var positions: List<Position>,
) : AutoCloseable {
    private data class Position(val index: Long, val offset: Long)

    private var syncedPositions = positions
    private var syncedBytes = channel.size()

    /** The size of the file in bytes. */
    val sizeBytes: Long get() = channel.size()

    /**
     * Replaces all entries from the index of the first of [entries] on by [entries].
     *
     * @throws IOException if the file can't be written
     */
    fun write(entries: List<LogEntry>) {
        truncateFrom(entries.first().index)
        val addedPositions = ArrayList<Position>(entries.size)
        entries.forEach { entry ->
            addedPositions.add(Position(entry.index, channel.position()))
            channel.writeFully(frame(encode(Record(syncedBytes, entry))))
        }
        positions = positions + addedPositions
    }

    /** Makes all written entries durable. */
    fun sync() {
        channel.force(false)
        syncedPositions = positions
        syncedBytes = channel.position()
    }

    /** Removes the entries written since the last [sync]. Entries that they have replaced are not restored. */
    fun rollBack() {
        channel.truncate(syncedBytes)
        channel.position(syncedBytes)
        positions = syncedPositions
    }

    /** Replaces the whole content by [entries], which are durable when this returns. */
    fun rewrite(entries: List<LogEntry>) {
        val temporary = path.resolveSibling("${path.fileName}.new")
        Files.deleteIfExists(temporary)
        val replacement = EntryLog(temporary, openChannel(temporary), emptyList())
        try {
            if (entries.isNotEmpty()) replacement.write(entries)
            replacement.sync()
            Files.move(temporary, path, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING)
        } catch (failure: IOException) {
            replacement.close()
            throw failure
        }
        channel.close()
        channel = replacement.channel
        positions = replacement.positions
        syncedPositions = positions
        syncedBytes = channel.position()
        syncFolder(path.parent)
    }

    override fun close() {
        channel.close()
    }

    private fun truncateFrom(index: Long) {
        val first = positions.firstOrNull()?.index ?: return
        val keep = (index - first).coerceIn(0, positions.size.toLong()).toInt()
        if (keep == positions.size) return
        val end = positions[keep].offset
        channel.truncate(end)
        channel.position(end)
        channel.force(true)
        syncedBytes = minOf(syncedBytes, end)
        positions = positions.subList(0, keep)
        syncedPositions = positions
    }

    /** An [entry], and the number of bytes of the file that were durable when it was written. */
    @Serializable
    private data class Record(val durableBytes: Long, val entry: LogEntry)

    /** An opened log with its [entries]. [tornBytes] of incomplete writes were cut off its end. */
    data class Opened(val log: EntryLog, val entries: List<LogEntry>, val tornBytes: Long)

    companion object {
        /**
         * Opens the file at [path]. Incomplete writes at its end are cut off; damage to durable records is an error.
         */
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

        /**
         * Returns the number of bytes that were durable according to the valid records after [offset]; 0 without any.
         */
        private fun durableBytes(data: ByteBuffer, offset: Int): Long = (offset + 1..data.limit() - HEADER_BYTES)
            .mapNotNull { unframeOrNull(data, it) }
            .maxOfOrNull { decode(it).durableBytes } ?: 0

        private fun encode(record: Record): ByteArray = ProtoBuf.encodeToByteArray(Record.serializer(), record)

        private fun decode(payload: ByteArray): Record = ProtoBuf.decodeFromByteArray(Record.serializer(), payload)

        private fun openChannel(path: Path): FileChannel =
            FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)
    }
}
