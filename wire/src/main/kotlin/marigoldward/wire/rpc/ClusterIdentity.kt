package marigoldward.wire.rpc

import io.grpc.Metadata
import marigoldward.support.program.KeyFile

/** The credentials of every call between processes. Calls from other clusters or protocol versions are refused. */
public data class ClusterIdentity(val clusterId: String, val key: KeyFile) {
    internal fun toMetadata(): Metadata {
        val metadata = Metadata()
        metadata.put(CLUSTER, clusterId)
        metadata.put(VERSION, PROTOCOL_VERSION)
        metadata.put(KEY, key.secret)
        return metadata
    }

    /** Returns why a call with [metadata] is refused, or null if it is accepted. The reason never contains the key. */
    internal fun refusalOrNull(metadata: Metadata): String? = when {
        !key.accepts(metadata.get(KEY)) -> "the key is wrong"
        metadata.get(CLUSTER) != clusterId -> "cluster id \"${metadata.get(CLUSTER)}\" is not \"$clusterId\""
        metadata.get(VERSION) != PROTOCOL_VERSION ->
            "protocol version \"${metadata.get(VERSION)}\" is not \"$PROTOCOL_VERSION\""
        else -> null
    }

    internal companion object {
        const val PROTOCOL_VERSION: String = "1"
        private val CLUSTER = metadataKey("x-marigoldward-cluster")
        private val VERSION = metadataKey("x-marigoldward-protocol")
        private val KEY = metadataKey("x-marigoldward-key")

        private fun metadataKey(name: String): Metadata.Key<String> =
            Metadata.Key.of(name, Metadata.ASCII_STRING_MARSHALLER)
    }
}
