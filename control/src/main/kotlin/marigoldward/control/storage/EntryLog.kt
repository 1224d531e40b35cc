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
 * Written entries are durable after [sync]. Records are only added: one with an index that the file already holds
 * replaces that entry and all later ones. So [rollBack] restores what the file held at the last [sync].
 *
 * Each record contains the number of bytes that were durable when it was written. This distinguishes damage to
 * durable records, which is an error, from an incomplete write after a loss of power, of which any part may be on disk.
 */
@OptIn(ExperimentalSerializationApi::class)
internal class EntryLog private constructor(
    private val path: Path,
    private var channel: FileChannel,
    private val makeNamesDurable: (Path) -> Unit,
) : AutoCloseable {
    private var syncedBytes = channel.size()

    /** The end of the records that were written and not rolled back. */
    private var writtenBytes = syncedBytes

    /** Whether the name of the file is durable, without which its content is lost with the power. */
    private var isNameDurable = false

    /** The size of the file in bytes. */
    val sizeBytes: Long get() = channel.size()

    /**
     * Replaces all entries from the index of the first of [entries] on by [entries].
     *
     * @throws IOException if the file can't be written
     */
    fun write(entries: List<LogEntry>) {
        if (channel.size() > writtenBytes) channel.truncate(writtenBytes)
        channel.position(writtenBytes)
        channel.writeRecords(entries, syncedBytes)
        writtenBytes = channel.position()
    }

    /**
     * Makes all written entries durable.
     *
     * @throws IOException if they may not be
     */
    fun sync() {
        channel.force(false)
        makeNameDurable()
        syncedBytes = writtenBytes
    }

    /**
     * Drops the entries written since the last [sync], and restores those that they replaced.
     *
     * @throws IOException if the file can't be truncated; the next [write] tries again
     */
    fun rollBack() {
        writtenBytes = syncedBytes
        channel.truncate(writtenBytes)
    }

    /**
     * Replaces the whole content by [entries], which are durable when this returns.
     *
     * @throws IOException if they may not be; the log then holds its earlier content or [entries]
     */
    fun rewrite(entries: List<LogEntry>) {
        val replacement = writeReplacement(entries)
        channel.close()
        channel = replacement
        syncedBytes = channel.size()
        writtenBytes = syncedBytes
        isNameDurable = false
        makeNameDurable()
    }

    override fun close() {
        channel.close()
    }

    /** Puts a durable file with [entries] in the place of this one, and returns its channel. */
    private fun writeReplacement(entries: List<LogEntry>): FileChannel {
        val temporary = path.resolveSibling("${path.fileName}.new")
        Files.deleteIfExists(temporary)
        val replacement = openChannel(temporary)
        try {
            replacement.writeRecords(entries, durableBytes = 0)
            replacement.force(true)
            Files.move(temporary, path, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING)
        } catch (failure: IOException) {
            replacement.close()
            throw failure
        }
        return replacement
    }

    private fun makeNameDurable() {
        if (isNameDurable) return
        makeNamesDurable(path.parent)
        isNameDurable = true
    }

    /** An [entry], and the number of bytes of the file that were durable when it was written. */
    @Serializable
    private data class Record(val durableBytes: Long, val entry: LogEntry)

    /** An opened log with its [entries]. [tornBytes] of incomplete writes were cut off its end. */
    data class Opened(val log: EntryLog, val entries: List<LogEntry>, val tornBytes: Long)

    companion object {
        /**
         * Opens the file at [path]. Incomplete writes at its end are cut off; damage to durable records is an error.
         *
         * The entries and the names in the folder are durable when this returns: a process that was killed may have
         * written them without a sync.
         *
         * @param makeNamesDurable makes the names of the files in a folder durable
         * @throws IOException if the file can't be read, or may not be durable
         */
        fun open(path: Path, makeNamesDurable: (Path) -> Unit = ::syncFolder): Outcome<Opened, StorageProblem> {
            val data = if (Files.exists(path)) ByteBuffer.wrap(Files.readAllBytes(path)) else ByteBuffer.allocate(0)
            val entries = ArrayList<LogEntry>()
            var offset = 0
            while (true) {
                val payload = unframeOrNull(data, offset) ?: break
                val entry = decode(payload).entry
                while (entries.isNotEmpty() && entries.last().index >= entry.index) entries.removeAt(entries.lastIndex)
                entries.add(entry)
                offset += HEADER_BYTES + payload.size
            }
            if (durableBytes(data, offset) > offset) {
                return Outcome.Failure(StorageProblem.Corrupt(path.toString(), offset.toLong()))
            }
            val channel = openChannel(path)
            try {
                channel.truncate(offset.toLong())
                channel.force(true)
                val tornBytes = data.limit() - offset.toLong()
                val log = EntryLog(path, channel, makeNamesDurable)
                log.makeNameDurable()
                return Outcome.Success(Opened(log, entries, tornBytes))
            } catch (failure: IOException) {
                channel.close()
                throw failure
            }
        }

        /**
         * Returns the number of bytes that were durable according to the valid records after [offset]; 0 without any.
         */
        private fun durableBytes(data: ByteBuffer, offset: Int): Long = (offset + 1..data.limit() - HEADER_BYTES)
            .mapNotNull { unframeOrNull(data, it) }
            .maxOfOrNull { decode(it).durableBytes } ?: 0

        private fun FileChannel.writeRecords(entries: List<LogEntry>, durableBytes: Long) =
            entries.forEach { writeFully(frame(encode(Record(durableBytes, it)))) }

        private fun encode(record: Record): ByteArray = ProtoBuf.encodeToByteArray(Record.serializer(), record)

        private fun decode(payload: ByteArray): Record = ProtoBuf.decodeFromByteArray(Record.serializer(), payload)

        private fun openChannel(path: Path): FileChannel =
            FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)
    }
}
