package marigoldward.control.storage

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.protobuf.ProtoBuf
import marigoldward.core.Outcome
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption
import java.nio.file.StandardOpenOption

/** A file with one checksummed record, which is replaced atomically. */
@OptIn(ExperimentalSerializationApi::class)
internal class RecordFile<T : Any>(private val path: Path, private val serializer: KSerializer<T>) {
    /** Returns the record, or null if there is no file. */
    fun read(): Outcome<T?, StorageProblem> {
        if (!Files.exists(path)) return Outcome.Success(null)
        val payload = unframeOrNull(ByteBuffer.wrap(Files.readAllBytes(path)), 0)
            ?: return Outcome.Failure(StorageProblem.Corrupt(path.toString(), 0))
        return Outcome.Success(ProtoBuf.decodeFromByteArray(serializer, payload))
    }

    /**
     * Replaces the record by [value], which is durable when this returns.
     *
     * @throws IOException if it can't be written; the file then holds the earlier record or [value]
     */
    fun write(value: T) {
        val temporary = path.resolveSibling("${path.fileName}.new")
        // A loss of power may leave the temporary name beside the one that it was renamed to, both of one file.
        Files.deleteIfExists(temporary)
        val options = setOf(StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE)
        FileChannel.open(temporary, options).use { channel ->
            channel.writeFully(frame(ProtoBuf.encodeToByteArray(serializer, value)))
            channel.force(true)
        }
        Files.move(temporary, path, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING)
        syncFolder(path.parent)
    }
}

/** Writes all of [buffer] at the channel's position. */
internal fun FileChannel.writeFully(buffer: ByteBuffer) {
    while (buffer.hasRemaining()) write(buffer)
}

/** Makes the creation and renaming of files in [folder] durable. */
internal fun syncFolder(folder: Path) {
    FileChannel.open(folder, StandardOpenOption.READ).use { it.force(true) }
}
