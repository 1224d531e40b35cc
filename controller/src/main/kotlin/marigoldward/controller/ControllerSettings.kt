package marigoldward.controller

import marigoldward.core.model.DataCentre
import marigoldward.core.model.InstanceId
import marigoldward.core.model.SiteName
import marigoldward.support.program.KeyFile
import marigoldward.support.settings.IniDocument
import marigoldward.support.settings.PeerSettings
import marigoldward.support.settings.ProblemList
import java.net.InetSocketAddress

/**
 * The settings of a controller.
 *
 * @property operatorListen the address to serve operators at
 * @property platform the address of the platform, which lists the upstreams
 * @property control the addresses of the control instances
 * @property entries the addresses of the entries whose demand the planning of engine roles is based on
 */
public data class ControllerSettings(
    val id: InstanceId,
    val clusterId: String,
    val site: SiteName,
    val dataCentre: DataCentre,
    val operatorListen: InetSocketAddress,
    val platform: InetSocketAddress,
    val key: KeyFile,
    val control: Map<InstanceId, InetSocketAddress>,
    val entries: Map<InstanceId, InetSocketAddress>,
) {
    /** Reads settings from files. */
    public companion object {
        private const val NAME_RULE = "a name of 1 to 64 letters, digits, '.', '_' or '-'"

        /** Reads the settings in [document] and adds an entry to [problems] for each one that is not valid. */
        public fun read(document: IniDocument, problems: ProblemList): ControllerSettings {
            document.requireOnly(listOf("controller", "control", "entries"), problems)
            val section = document.section("controller", problems)
            val settings =
                ControllerSettings(
                    id = section.parsed("id", null, NAME_RULE, InstanceId::parseOrNull) ?: InstanceId.parse("invalid"),
                    clusterId = section.text("cluster_id"),
                    site = section.parsed("site", null, NAME_RULE, SiteName::parseOrNull) ?: SiteName.parse("invalid"),
                    dataCentre = section.parsed("data_centre", null, NAME_RULE, DataCentre::parseOrNull)
                        ?: DataCentre.parse("invalid"),
                    operatorListen = section.address("operator_listen"),
                    platform = section.address("platform"),
                    key = KeyFile.read(section, "key_file"),
                    control = PeerSettings.read(document.section("control", problems)),
                    entries = PeerSettings.read(document.section("entries", problems)),
                )
            section.rejectUnknownKeys()
            return settings
        }
    }
}
