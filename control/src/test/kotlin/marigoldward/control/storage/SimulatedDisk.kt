package marigoldward.control.storage

import java.io.IOException
import java.net.URI
import java.nio.ByteBuffer
import java.nio.MappedByteBuffer
import java.nio.channels.FileChannel
import java.nio.channels.FileLock
import java.nio.channels.ReadableByteChannel
import java.nio.channels.WritableByteChannel
import java.nio.file.AccessMode
import java.nio.file.CopyOption
import java.nio.file.DirectoryStream
import java.nio.file.FileStore
import java.nio.file.FileSystem
import java.nio.file.LinkOption
import java.nio.file.NoSuchFileException
import java.nio.file.OpenOption
import java.nio.file.Path
import java.nio.file.PathMatcher
import java.nio.file.StandardOpenOption
import java.nio.file.WatchService
import java.nio.file.attribute.BasicFileAttributes
import java.nio.file.attribute.FileAttribute
import java.nio.file.attribute.FileAttributeView
import java.nio.file.attribute.UserPrincipalLookupService
import java.nio.file.spi.FileSystemProvider
import kotlin.experimental.inv
import kotlin.random.Random

/** Ends the simulated process. Not an [IOException], which programs handle. */
internal class Cut : RuntimeException("the process ends here")

/**
 * A disk in memory with one folder, for programs that use [java.nio.file].
 *
 * It distinguishes what a running system reads from what a loss of power leaves: a file's content as of its last sync,
 * and the names in the folder as of the folder's last sync. Not thread-safe.
 */
internal class SimulatedDisk : FileSystemProvider() {
    private var names = HashMap<String, SimulatedFile>()
    private var durableNames = HashMap<String, SimulatedFile>()

    /** The folder. */
    val folder: Path = SimulatedPath(this, Path.of("/data"))

    /** The number of operations that change something or make it durable. */
    var operations: Int = 0
        private set

    /** The number of channels that were opened and not closed. */
    var openChannels: Int = 0
        internal set

    /** Whether the disk refuses locks. */
    var refusesLocks: Boolean = false

    /** The number of operations after which the process ends. */
    var maxOperations: Int = Int.MAX_VALUE

    /** Damages the byte at [offset] of the file [name], for good. */
    fun damage(name: String, offset: Int) {
        val file = names.getValue(name)
        file.write(offset, byteArrayOf(file.content[offset].inv()))
        file.sync()
    }

    /** Removes the file [name], for good. */
    fun lose(name: String) {
        names.remove(name)
        durableNames.remove(name)
    }

    /** Leaves what a loss of power leaves: each later write present, missing or torn, and each name kept or lost. */
    fun losePower(random: Random) {
        val mode = random.nextInt(4)
        (names.values + durableNames.values).toSet().forEach { it.losePower(random, mode) }
        (names.keys + durableNames.keys).forEach { name ->
            val isKept = if (mode < 2) mode == 0 else random.nextBoolean()
            val file = if (isKept) names[name] else durableNames[name]
            if (file == null) names.remove(name) else names[name] = file
        }
        durableNames = HashMap(names)
    }

    internal fun syncNames() = operate { durableNames = HashMap(names) }

    internal fun operate(change: () -> Unit) {
        if (operations >= maxOperations) throw Cut()
        operations++
        change()
    }

    override fun newFileChannel(path: Path, options: Set<OpenOption>, vararg attrs: FileAttribute<*>): FileChannel {
        val name = nameOf(path) ?: return SimulatedChannel(this, SimulatedFile(), isFolder = true)
        val isCreated = StandardOpenOption.CREATE in options || StandardOpenOption.CREATE_NEW in options
        val file = names[name] ?: if (isCreated) {
            SimulatedFile().also { operate { names[name] = it } }
        } else {
            throw NoSuchFileException(name)
        }
        if (StandardOpenOption.TRUNCATE_EXISTING in options) operate { file.setLength(0) }
        return SimulatedChannel(this, file, isFolder = false)
    }

    override fun newByteChannel(path: Path, options: Set<OpenOption>, vararg attrs: FileAttribute<*>): FileChannel =
        newFileChannel(path, options, *attrs)

    override fun checkAccess(path: Path, vararg modes: AccessMode) {
        val name = nameOf(path) ?: return
        if (name !in names) throw NoSuchFileException(name)
    }

    override fun createDirectory(dir: Path, vararg attrs: FileAttribute<*>) = Unit

    override fun delete(path: Path) {
        val name = nameOf(path)
        if (name !in names) throw NoSuchFileException(name)
        operate { names.remove(name) }
    }

    override fun move(source: Path, target: Path, vararg options: CopyOption) = operate {
        names[checkNotNull(nameOf(target))] = names.remove(nameOf(source)) ?: throw NoSuchFileException("$source")
    }

    override fun getScheme(): String = "simulated"

    private fun nameOf(path: Path): String? = "$path".removePrefix("$folder").removePrefix("/").ifEmpty { null }

    override fun newFileSystem(uri: URI, env: Map<String, *>): FileSystem = unsupported()

    override fun getFileSystem(uri: URI): FileSystem = unsupported()

    override fun getPath(uri: URI): Path = unsupported()

    override fun newDirectoryStream(dir: Path, filter: DirectoryStream.Filter<in Path>): DirectoryStream<Path> =
        unsupported()

    override fun copy(source: Path, target: Path, vararg options: CopyOption) = unsupported()

    override fun isSameFile(path: Path, path2: Path): Boolean = "$path" == "$path2"

    override fun isHidden(path: Path): Boolean = false

    override fun getFileStore(path: Path): FileStore = unsupported()

    override fun <V : FileAttributeView> getFileAttributeView(
        path: Path,
        type: Class<V>,
        vararg options: LinkOption,
    ): V = unsupported()

    override fun <A : BasicFileAttributes> readAttributes(path: Path, type: Class<A>, vararg options: LinkOption): A =
        unsupported()

    override fun readAttributes(path: Path, attributes: String, vararg options: LinkOption): Map<String, Any> =
        unsupported()

    override fun setAttribute(path: Path, attribute: String, value: Any?, vararg options: LinkOption) = unsupported()
}

private fun unsupported(): Nothing = throw UnsupportedOperationException("not used by the storage")

/** The content of a file as it is read and as it was when it was last synced, and the changes between. */
private class SimulatedFile {
    private var durable = ByteArray(0)
    private val changes = ArrayList<(ByteArray, Part) -> ByteArray>()
    var content = ByteArray(0)
        private set

    /** The part of a change that a loss of power leaves: [fraction] of its bytes, from its start or up to its end. */
    class Part(val fraction: Double, val isStart: Boolean)

    fun write(offset: Int, bytes: ByteArray) = change { before, part ->
        val size = (bytes.size * part.fraction).toInt()
        val first = if (part.isStart) 0 else bytes.size - size
        if (size == 0) {
            before
        } else {
            val after = before.copyOf(maxOf(before.size, offset + first + size))
            bytes.copyInto(after, offset + first, first, first + size)
        }
    }

    fun setLength(size: Int) = change { before, part -> if (part.fraction < 1) before else before.copyOf(size) }

    fun sync() {
        durable = content
        changes.clear()
    }

    fun losePower(random: Random, mode: Int) {
        content = changes.fold(durable) { before, change ->
            val fraction = when {
                mode < 2 -> if (mode == 0) 1.0 else 0.0
                else -> listOf(0.0, 1.0, random.nextDouble()).random(random)
            }
            change(before, Part(fraction, random.nextBoolean()))
        }
        sync()
    }

    private fun change(change: (ByteArray, Part) -> ByteArray) {
        changes.add(change)
        content = change(content, Part(1.0, isStart = true))
    }
}

private class SimulatedPath(private val disk: SimulatedDisk, private val real: Path) : Path by real {
    override fun getFileSystem(): FileSystem = SimulatedFileSystem(disk)

    override fun getParent(): Path? = real.parent?.let { SimulatedPath(disk, it) }

    override fun resolve(other: String): Path = SimulatedPath(disk, real.resolve(other))

    override fun resolveSibling(other: String): Path = SimulatedPath(disk, real.resolveSibling(other))

    override fun toString(): String = real.toString()
}

private class SimulatedFileSystem(private val disk: SimulatedDisk) : FileSystem() {
    override fun provider(): FileSystemProvider = disk

    override fun close() = Unit

    override fun isOpen(): Boolean = true

    override fun isReadOnly(): Boolean = false

    override fun getSeparator(): String = "/"

    override fun getRootDirectories(): Iterable<Path> = unsupported()

    override fun getFileStores(): Iterable<FileStore> = unsupported()

    override fun supportedFileAttributeViews(): Set<String> = unsupported()

    override fun getPath(first: String, vararg more: String): Path = unsupported()

    override fun getPathMatcher(syntaxAndPattern: String): PathMatcher = unsupported()

    override fun getUserPrincipalLookupService(): UserPrincipalLookupService = unsupported()

    override fun newWatchService(): WatchService = unsupported()
}

private class SimulatedChannel(
    private val disk: SimulatedDisk,
    private val file: SimulatedFile,
    private val isFolder: Boolean,
) : FileChannel() {
    private var position = 0

    init {
        disk.openChannels++
    }

    override fun read(dst: ByteBuffer): Int {
        val size = minOf(dst.remaining(), file.content.size - position)
        if (size <= 0) return if (dst.hasRemaining()) -1 else 0
        dst.put(file.content, position, size)
        position += size
        return size
    }

    override fun write(src: ByteBuffer): Int {
        val bytes = ByteArray(src.remaining()).also(src::get)
        disk.operate { file.write(position, bytes) }
        position += bytes.size
        return bytes.size
    }

    override fun position(): Long = position.toLong()

    override fun position(newPosition: Long): FileChannel = apply { position = newPosition.toInt() }

    override fun size(): Long = file.content.size.toLong()

    override fun truncate(size: Long): FileChannel = apply {
        if (size < file.content.size) disk.operate { file.setLength(size.toInt()) }
        position = minOf(position, size.toInt())
    }

    override fun force(metaData: Boolean) = if (isFolder) disk.syncNames() else disk.operate { file.sync() }

    override fun tryLock(position: Long, size: Long, shared: Boolean): FileLock {
        if (disk.refusesLocks) throw IOException("no locks available")
        return object : FileLock(this, position, size, shared) {
            override fun isValid(): Boolean = true

            override fun release() = Unit
        }
    }

    override fun lock(position: Long, size: Long, shared: Boolean): FileLock = tryLock(position, size, shared)

    override fun implCloseChannel() {
        disk.openChannels--
    }

    override fun read(dsts: Array<out ByteBuffer>, offset: Int, length: Int): Long = unsupported()

    override fun read(dst: ByteBuffer, position: Long): Int = unsupported()

    override fun write(srcs: Array<out ByteBuffer>, offset: Int, length: Int): Long = unsupported()

    override fun write(src: ByteBuffer, position: Long): Int = unsupported()

    override fun transferTo(position: Long, count: Long, target: WritableByteChannel): Long = unsupported()

    override fun transferFrom(src: ReadableByteChannel, position: Long, count: Long): Long = unsupported()

    override fun map(mode: MapMode, position: Long, size: Long): MappedByteBuffer = unsupported()
}
