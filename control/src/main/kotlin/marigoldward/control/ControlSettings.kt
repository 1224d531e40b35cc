package marigoldward.control

import marigoldward.core.model.InstanceId
import marigoldward.support.program.KeyFile
import marigoldward.support.settings.IniDocument
import marigoldward.support.settings.PeerSettings
import marigoldward.support.settings.ProblemList
import java.net.InetSocketAddress
import java.nio.file.Path

/**
 * The settings of a control instance.
 *
 * @property listen the address that accepts calls of other processes of the system
 * @property operatorListen the address that accepts operators' HTTP requests
 * @property peers the addresses of all control instances, including this one
 * @property maxSubscribers the number of processes that may subscribe to updates
 */
public data class ControlSettings(
    val id: InstanceId,
    val clusterId: String,
    val listen: InetSocketAddress,
    val operatorListen: InetSocketAddress,
    val dataFolder: Path,
    val key: KeyFile,
    val peers: Map<InstanceId, InetSocketAddress>,
    val maxSubscribers: Int,
) {
    /** Reads settings. */
    public companion object {
        private const val NAME_RULE = "a name of 1 to 64 letters, digits, '.', '_' or '-'"
        private const val MAX_SUBSCRIBERS = 10_000L
        private const val DEFAULT_SUBSCRIBERS = 64L

        /** Reads the settings in [document] and adds its problems to [problems]. */
        public fun read(document: IniDocument, problems: ProblemList): ControlSettings {
            document.requireOnly(listOf("control", "peers"), problems)
            val section = document.section("control", problems)
            val peers = PeerSettings.read(document.section("peers", problems))
            val id = section.parsed("id", null, NAME_RULE, InstanceId::parseOrNull) ?: InstanceId.parse("invalid")
            val settings =
                ControlSettings(
                    id = id,
                    clusterId = section.text("cluster_id"),
                    listen = section.address("listen"),
                    operatorListen = section.address("operator_listen"),
                    dataFolder = Path.of(section.text("data_folder")),
                    key = KeyFile.read(section, "key_file"),
                    peers = peers,
                    maxSubscribers = section.integer(
                        "max_subscribers",
                        1..MAX_SUBSCRIBERS,
                        DEFAULT_SUBSCRIBERS,
                    ).toInt(),
                )
            if (id !in peers) section.reject("id", "instance \"$id\" is not listed in the section \"peers\"")
            section.rejectUnknownKeys()
            return settings
        }
    }
}
