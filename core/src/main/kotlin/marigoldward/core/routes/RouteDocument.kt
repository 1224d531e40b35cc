package marigoldward.core.routes

import kotlinx.serialization.Serializable

/**
 * A configuration of routes as an operator sent it.
 *
 * @property version the number that the operator gave it
 * @property compressed the bytes that the operator sent, compressed with gzip
 */
@Serializable
public class RouteDocument(public val version: Long, public val compressed: ByteArray) {
    /** Whether [other] has the same number and the same bytes. */
    override fun equals(other: Any?): Boolean =
        other is RouteDocument && other.version == version && other.compressed.contentEquals(compressed)

    override fun hashCode(): Int = compressed.contentHashCode() * HASH_FACTOR + version.hashCode()

    /** The number and the size. */
    override fun toString(): String = "RouteDocument(version=$version, bytes=${compressed.size})"

    private companion object {
        const val HASH_FACTOR = 31
    }
}
