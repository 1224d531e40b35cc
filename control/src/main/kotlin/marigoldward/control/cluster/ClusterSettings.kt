package marigoldward.control.cluster

import marigoldward.core.model.DataCentre
import marigoldward.core.model.InstanceId
import marigoldward.support.settings.IniDocument
import marigoldward.support.settings.ProblemList
import marigoldward.support.settings.SectionReader
import marigoldward.wire.rpc.ClusterAccess
import java.net.InetSocketAddress
import java.nio.file.Path

/**
 * The settings of a control instance whose cluster changes its members without an operator.
 *
 * @property ip the instance's own IP address, which is also its name
 * @property operatorListen the address that accepts operators' requests; the port is the same on all control instances
 * @property cluster the settings by which the instances of the cluster reach each other
 * @property isFirstStart whether the whole system starts for the first time, with empty disks
 * @property lostInstances the number of control instances that may be lost at once, with their disks, without loss of
 * data
 * @property catchUpMillis the time from the start of a new control instance after which it has to have taken the place
 * of a lost one, in milliseconds
 * @property directory the address of the service that lists the upstreams
 * @property duties the settings of the duties that the leader performs at the platform's provider
 * @property leaseMillis how long an earlier sender of orders to engines may still act, in milliseconds
 */
public data class ClusterSettings(
    val ip: InstanceId,
    val dataCentre: DataCentre,
    val operatorListen: InetSocketAddress,
    val dataFolder: Path,
    val cluster: ClusterAccess,
    val isFirstStart: Boolean,
    val lostInstances: Int,
    val catchUpMillis: Long,
    val directory: InetSocketAddress,
    val leaseMillis: Long,
    val duties: DutySettings = DutySettings.NONE,
) {
    /** Reads settings. */
    public companion object {
        private const val MAX_LEASE_MILLIS = 600_000L
        private const val MAX_LOST_INSTANCES = 3L
        private const val MAX_CATCH_UP_SECONDS = 600.0
        private const val DEFAULT_CATCH_UP_SECONDS = 4.0
        private const val MILLIS_PER_SECOND = 1_000.0

        /** Reads the settings in [document] and adds its problems to [problems]. */
        public fun read(document: IniDocument, problems: ProblemList): ClusterSettings {
            document.requireOnly(listOf("control"), problems)
            val section = document.section("control", problems)
            val settings =
                ClusterSettings(
                    ip = name(section, "ip", InstanceId::parseOrNull) ?: InstanceId.parse("invalid"),
                    dataCentre = name(section, "data_centre", DataCentre::parseOrNull) ?: DataCentre.parse("invalid"),
                    operatorListen = section.address("operator_listen"),
                    dataFolder = Path.of(section.text("data_folder")),
                    cluster = ClusterAccess.read(section),
                    isFirstStart = section.boolean("first_start"),
                    lostInstances = section.integer("lost_instances", 0..MAX_LOST_INSTANCES).toInt(),
                    catchUpMillis = catchUpMillis(section),
                    directory = section.address("directory"),
                    leaseMillis = section.integer("lease_ms", 1..MAX_LEASE_MILLIS),
                    duties = DutySettings.read(section),
                )
            section.rejectUnknownKeys()
            return settings
        }

        private fun catchUpMillis(section: SectionReader): Long {
            val allowed = "a number of seconds from 1 to ${MAX_CATCH_UP_SECONDS.toInt()}"
            val seconds = section.parsed("catch_up_s", DEFAULT_CATCH_UP_SECONDS, allowed) { text ->
                text.toDoubleOrNull()?.takeIf { it in 1.0..MAX_CATCH_UP_SECONDS }
            }
            return ((seconds ?: DEFAULT_CATCH_UP_SECONDS) * MILLIS_PER_SECOND).toLong()
        }

        private fun <T : Any> name(section: SectionReader, key: String, parse: (String) -> T?): T? =
            section.parsed(key, null, "a name of 1 to 64 letters, digits, '.', '_' or '-'", parse)
    }
}
