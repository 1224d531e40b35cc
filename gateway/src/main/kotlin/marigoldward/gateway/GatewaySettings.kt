package marigoldward.gateway

import marigoldward.core.model.DataCentre
import marigoldward.core.model.InstanceId
import marigoldward.support.settings.IniDocument
import marigoldward.support.settings.ProblemList
import marigoldward.support.settings.SectionReader
import marigoldward.wire.rpc.ClusterAccess
import java.net.InetSocketAddress

/**
 * The settings of an entry that forwards opaque requests.
 *
 * @property callerListen where callers reach it
 * @property readyListen where it says whether it takes callers
 * @property cluster how it reaches the control instances
 * @property directory where the list of upstreams is read if no control instance tells it
 * @property graceMillis the time from the request to end until the process is killed, in milliseconds
 * @property repeatRatio how many repeats all entries may send for each request
 * @property repeatSlack how many more they may send in a window
 * @property repeatWindowMillis the window, in milliseconds
 */
public data class GatewaySettings(
    val id: InstanceId,
    val dataCentre: DataCentre,
    val ip: String,
    val callerListen: InetSocketAddress,
    val readyListen: InetSocketAddress,
    val metricsPort: Int,
    val cluster: ClusterAccess,
    val directory: InetSocketAddress,
    val graceMillis: Long,
    val repeatRatio: Double,
    val repeatSlack: Int,
    val repeatWindowMillis: Long,
) {
    /** Reads settings. */
    public companion object {
        private const val MAX_PORT = 65_535L
        private const val MAX_SECONDS = 3_600.0
        private const val MAX_REPEATS = 1_000_000.0
        private const val MILLIS_PER_SECOND = 1_000.0

        /** Reads the settings in [document] and adds what is wrong to [problems]. */
        public fun read(document: IniDocument, problems: ProblemList): GatewaySettings {
            document.requireOnly(listOf("entry"), problems)
            val section = document.section("entry", problems)
            val settings =
                GatewaySettings(
                    id = name(section, "id", InstanceId::parseOrNull) ?: InstanceId.parse("invalid"),
                    dataCentre = name(section, "data_centre", DataCentre::parseOrNull) ?: DataCentre.parse("invalid"),
                    ip = section.text("ip"),
                    callerListen = section.address("caller_listen"),
                    readyListen = section.address("ready_listen"),
                    metricsPort = section.whole("metrics_port", 1..MAX_PORT).toInt(),
                    cluster = ClusterAccess.read(section),
                    directory = section.address("directory"),
                    graceMillis = millis(section, "grace_s"),
                    repeatRatio = number(section, "repeat_ratio", MAX_REPEATS),
                    repeatSlack = number(section, "repeat_slack", MAX_REPEATS).toInt(),
                    repeatWindowMillis = millis(section, "repeat_window_s"),
                )
            section.finish()
            return settings
        }

        private fun <T : Any> name(section: SectionReader, key: String, parse: (String) -> T?): T? =
            section.parsed(key, null, "a name of 1 to 64 letters, digits, '.', '_' or '-'", parse)

        private fun millis(section: SectionReader, key: String): Long =
            (number(section, key, MAX_SECONDS) * MILLIS_PER_SECOND).toLong()

        private fun number(section: SectionReader, key: String, most: Double): Double =
            section.parsed(key, null, "a number from 0 to $most") { text ->
                text.toDoubleOrNull()?.takeIf { it in 0.0..most }
            } ?: 0.0
    }
}
