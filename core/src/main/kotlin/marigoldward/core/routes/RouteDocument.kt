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
     * versions of the compressor, whose results differ.
     */
    public fun hasSameContentAs(other: RouteDocument): Boolean {
        if (version != other.version || compressed.contentEquals(other.compressed)) return this == other
        val content = decompressedOrNull() ?: return false
        return content.contentEquals(other.decompressedOrNull())
    }

    private fun decompressedOrNull(): ByteArray? = try {
        GZIPInputStream(ByteArrayInputStream(compressed)).use { it.readBytes() }
    } catch (_: IOException) {
        null
    }

    /** Returns the version and the compressed size. */
    override fun toString(): String = "RouteDocument(version=$version, bytes=${compressed.size})"

    private companion object {
        const val HASH_FACTOR = 31
    }
}
