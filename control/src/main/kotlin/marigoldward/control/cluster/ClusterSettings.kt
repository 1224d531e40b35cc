package marigoldward.control.cluster

import marigoldward.core.model.DataCentre
import marigoldward.core.model.InstanceId
import marigoldward.support.program.KeyFile
import marigoldward.support.settings.IniDocument
import marigoldward.support.settings.ProblemList
import marigoldward.support.settings.SectionReader
import marigoldward.support.settings.parseAddressOrNull
import java.net.InetSocketAddress
import java.nio.file.Path

/**
 * The settings of a control instance whose cluster finds its members by itself.
 *
 * @property ip the instance's own IP number; it also names the instance
 * @property operatorListen where operators' requests reach it; the port is the same on all control instances
 * @property rpcPort the port for the system's own calls, the same on all instances
 * @property seeds the operators' addresses of some control instances
 * @property isFirstStart whether the whole system starts for the first time, with empty disks
 * @property lostInstances how many instances with a disk may be lost at once
 * @property directory where the list of upstreams is read
 * @property leaseMillis how long another sender of orders may still act, in milliseconds
 */
public data class ClusterSettings(
    val ip: InstanceId,
    val dataCentre: DataCentre,
    val operatorListen: InetSocketAddress,
    val rpcPort: Int,
    val dataFolder: Path,
    val seeds: List<InetSocketAddress>,
    val isFirstStart: Boolean,
    val lostInstances: Int,
    val clusterId: String,
    val key: KeyFile,
    val directory: InetSocketAddress,
    val leaseMillis: Long,
) {
    /** Where the system's own calls reach the instance [name], or null if the name is no IP number. */
    public fun rpcAddressOrNull(name: InstanceId): InetSocketAddress? = parseAddressOrNull("$name:$rpcPort")

    /** The instances that the seeds name. */
    public val seedInstances: List<InstanceId> get() = seeds.mapNotNull { InstanceId.parseOrNull(it.hostString) }

    /** Reads settings. */
    public companion object {
        private const val MAX_PORT = 65_535L
        private const val MAX_LEASE_MILLIS = 600_000L
        private const val MAX_LOST_INSTANCES = 3L

        /** Reads the settings in [document] and adds what is wrong to [problems]. */
        public fun read(document: IniDocument, problems: ProblemList): ClusterSettings {
            document.requireOnly(listOf("control"), problems)
            val section = document.section("control", problems)
            val settings =
                ClusterSettings(
                    ip = name(section, "ip", InstanceId::parseOrNull) ?: InstanceId.parse("invalid"),
                    dataCentre = name(section, "data_centre", DataCentre::parseOrNull) ?: DataCentre.parse("invalid"),
                    operatorListen = section.address("operator_listen"),
                    rpcPort = section.whole("rpc_port", 1..MAX_PORT).toInt(),
                    dataFolder = Path.of(section.text("data_folder")),
                    seeds = section.parsedList("seeds", "addresses as IP:PORT", ::parseAddressOrNull),
                    isFirstStart = section.flag("first_start"),
                    lostInstances = section.whole("lost_instances", 0..MAX_LOST_INSTANCES).toInt(),
                    clusterId = section.text("cluster_id"),
                    key = KeyFile.fromSecret(section.text("cluster_key")),
                    directory = section.address("directory"),
                    leaseMillis = section.whole("lease_ms", 1..MAX_LEASE_MILLIS),
                )
            section.finish()
            return settings
        }

        private fun <T : Any> name(section: SectionReader, key: String, parse: (String) -> T?): T? =
            section.parsed(key, null, "a name of 1 to 64 letters, digits, '.', '_' or '-'", parse)
    }
}
