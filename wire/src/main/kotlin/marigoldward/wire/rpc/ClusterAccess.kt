package marigoldward.wire.rpc

import marigoldward.core.model.InstanceId
import marigoldward.support.program.KeyFile
import marigoldward.support.settings.SectionReader
import marigoldward.support.settings.parseAddressOrNull
import java.net.InetSocketAddress

/**
 * The settings by which a process reaches the control instances of its cluster, whose names are their IP addresses.
 *
 * @property seeds the addresses of some control instances at which operators reach them
 * @property rpcPort the port for calls between processes, the same on all control instances
 */
public data class ClusterAccess(val seeds: List<InetSocketAddress>, val rpcPort: Int, val identity: ClusterIdentity) {
    /** The names of the instances in [seeds]. */
    public val seedInstances: List<InstanceId> get() = seeds.mapNotNull { InstanceId.parseOrNull(it.hostString) }

    /** Returns the address for calls between processes of the instance [name], or null if it is not an IP address. */
    public fun rpcAddressOrNull(name: InstanceId): InetSocketAddress? = parseAddressOrNull("$name:$rpcPort")

    public companion object {
        private const val MAX_PORT = 65_535L

        /** Reads the keys `seeds`, `rpc_port`, `cluster_id` and `cluster_key` of [section]. */
        public fun read(section: SectionReader): ClusterAccess = ClusterAccess(
            seeds = section.parsedList("seeds", "addresses as IP:PORT", ::parseAddressOrNull),
            rpcPort = section.integer("rpc_port", 1..MAX_PORT).toInt(),
            identity =
            ClusterIdentity(section.text("cluster_id"), KeyFile.fromSecret(section.text("cluster_key"))),
        )
    }
}
