package marigoldward.cli

import marigoldward.core.model.InstanceId
import marigoldward.support.program.KeyFile
import marigoldward.support.settings.IniDocument
import marigoldward.support.settings.PeerSettings
import marigoldward.support.settings.ProblemList
import java.net.InetSocketAddress

/**
 * The settings of the operators' command line.
 *
 * @property key the shared key that authenticates calls to control instances and entries
 * @property controlAddresses the addresses of the control instances
 * @property entryAddresses the operator addresses of the entries, which `explain` calls
 */
public data class OperatorSettings(
    val clusterId: String,
    val key: KeyFile,
    val controlAddresses: Map<InstanceId, InetSocketAddress>,
    val entryAddresses: Map<InstanceId, InetSocketAddress>,
) {
    /** Reads the settings from an INI document. */
    public companion object {
        /** Reads the settings in [document] and adds any problems to [problems]. */
        public fun read(document: IniDocument, problems: ProblemList): OperatorSettings {
            document.requireOnly(listOf("operator", "control", "entries"), problems)
            val section = document.section("operator", problems)
            val settings =
                OperatorSettings(
                    clusterId = section.text("cluster_id"),
                    key = KeyFile.read(section, "key_file"),
                    controlAddresses = PeerSettings.read(document.section("control", problems)),
                    entryAddresses = PeerSettings.read(document.section("entries", problems)),
                )
            section.rejectUnknownKeys()
            return settings
        }
    }
}
