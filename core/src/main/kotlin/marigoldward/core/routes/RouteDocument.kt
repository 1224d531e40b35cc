package marigoldward.core.routes

import kotlinx.serialization.Serializable
import java.io.ByteArrayInputStream
import java.io.IOException
import java.util.zip.GZIPInputStream

/**
 * A route configuration as it was submitted by an operator.
 *
 * @property version the version that the operator assigned
 * @property compressed the submitted bytes, compressed with gzip
 */
@Serializable
public class RouteDocument(public val version: Long, public val compressed: ByteArray) {
    /** Whether [other] has the same version and the same compressed bytes. */
    override fun equals(other: Any?): Boolean =
        other is RouteDocument && other.version == version && other.compressed.contentEquals(compressed)

    override fun hashCode(): Int = compressed.contentHashCode() * HASH_FACTOR + version.hashCode()

    /**
     * Whether [other] has the same version and the same submitted bytes. These may have been compressed by different
     * versions of the compressor, whose results differ. False if the compressed bytes differ and those of this document
     * are damaged or expand to more than [MAX_CONTENT_BYTES].
     */
    public fun hasSameContentAs(other: RouteDocument): Boolean {
        if (version != other.version || compressed.contentEquals(other.compressed)) return this == other
        val content = decompressedOrNull() ?: return false
        return content.contentEquals(other.decompressedOrNull())
    }

    private fun decompressedOrNull(): ByteArray? = try {
        GZIPInputStream(ByteArrayInputStream(compressed))
            .use { it.readNBytes(MAX_CONTENT_BYTES + 1) }
            .takeIf { it.size <= MAX_CONTENT_BYTES }
    } catch (_: IOException) {
        null
    }

    /** Returns the version and the compressed size. */
    override fun toString(): String = "RouteDocument(version=$version, bytes=${compressed.size})"

    /** Holds the limit of the size. */
    public companion object {
        /** The maximum size of the submitted bytes: the 16 MiB that the operator's API accepts, and a quarter more. */
        public const val MAX_CONTENT_BYTES: Int = 20_971_520
        private const val HASH_FACTOR = 31
    }
}
