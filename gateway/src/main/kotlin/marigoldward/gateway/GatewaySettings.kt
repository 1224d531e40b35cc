package marigoldward.gateway

import marigoldward.core.model.DataCentre
import marigoldward.core.model.InstanceId
import marigoldward.core.serving.CallerBounds
import marigoldward.support.settings.IniDocument
import marigoldward.support.settings.ProblemList
import marigoldward.support.settings.SectionReader
import marigoldward.wire.rpc.ClusterAccess
import java.net.InetSocketAddress

/**
 * The settings of a gateway.
 *
 * @property ip the IP address at which the metrics are served, on [metricsPort]
 * @property callerListenAddress where the gateway accepts connections of callers
 * @property readinessListenAddress where the gateway reports whether it is ready for callers
 * @property cluster how to reach the control instances
 * @property directoryAddress where the list of upstreams is read if no control instance sends it
 * @property gracePeriodMillis the time from the request to terminate until the process is killed, in milliseconds
 * @property retryBudgetRatio how many retries all gateways together may send for each request
 * @property retryBudgetSlack how many more retries they may send within a window
 * @property retryBudgetWindowMillis the length of the window, in milliseconds
 * @property revocationMillis the time after the acknowledgement of a configuration without a key after which no request
 *   with that key may be accepted, in milliseconds, or null if that time has no strict bound
 * @property usageWindowMillis the length of the windows in which the usage of workspaces is counted, in milliseconds, or
 *   null if it is not counted
 * @property callerBounds what all callers together, and each connection, may take of this process
 */
public data class GatewaySettings(
    val id: InstanceId,
    val dataCentre: DataCentre,
    val ip: String,
    val callerListenAddress: InetSocketAddress,
    val readinessListenAddress: InetSocketAddress,
    val metricsPort: Int,
    val cluster: ClusterAccess,
    val directoryAddress: InetSocketAddress,
    val gracePeriodMillis: Long,
    val retryBudgetRatio: Double,
    val retryBudgetSlack: Int,
    val retryBudgetWindowMillis: Long,
    val revocationMillis: Long? = null,
    val usageWindowMillis: Long? = null,
    val callerBounds: CallerBounds = defaultCallerBounds(),
) {
    /** Reads settings. */
    public companion object {
        private const val MAX_PORT = 65_535L
        private const val MAX_SECONDS = 3_600.0
        private const val MAX_RETRY_BUDGET = 1_000_000.0
        private const val MILLIS_PER_SECOND = 1_000.0
        private val DESCRIPTORS = 100L..1_000_000_000L
        private val REVOCATION_MILLIS = 100L..3_600_000L
        private val USAGE_WINDOW_SECONDS = 1L..86_400L
        private val MEMORY_BYTES = 65_536L..1_099_511_627_776L
        private val CONNECTIONS = 16L..1_000_000L
        private val REQUESTS_AHEAD = 1L..10_000L
        private val HEAD_FIELDS = 16L..1_000_000L
        private val STALLED_MILLIS = 100L..60_000L

        /** Reads the settings in [document] and adds errors to [problems]. */
        public fun read(document: IniDocument, problems: ProblemList): GatewaySettings {
            document.requireOnly(listOf("entry"), problems)
            val section = document.section("entry", problems)
            val settings =
                GatewaySettings(
                    id = name(section, "id", InstanceId::parseOrNull) ?: InstanceId.parse("invalid"),
                    dataCentre = name(section, "data_centre", DataCentre::parseOrNull) ?: DataCentre.parse("invalid"),
                    ip = section.text("ip"),
                    callerListenAddress = section.address("caller_listen"),
                    readinessListenAddress = section.address("ready_listen"),
                    metricsPort = section.integer("metrics_port", 1..MAX_PORT).toInt(),
                    cluster = ClusterAccess.read(section),
                    directoryAddress = section.address("directory"),
                    gracePeriodMillis = millis(section, "grace_s"),
                    retryBudgetRatio = number(section, "repeat_ratio", MAX_RETRY_BUDGET),
                    retryBudgetSlack = number(section, "repeat_slack", MAX_RETRY_BUDGET).toInt(),
                    retryBudgetWindowMillis = millis(section, "repeat_window_s"),
                    revocationMillis = revocationMillisOrNull(section),
                    usageWindowMillis = section.integerOrNull("usage_window_s", USAGE_WINDOW_SECONDS)?.times(1_000),
                    callerBounds = callerBounds(section),
                )
            section.rejectUnknownKeys()
            return settings
        }

        private fun callerBounds(section: SectionReader): CallerBounds {
            val descriptors = section.integerOrNull("descriptors", DESCRIPTORS)
            val default = if (descriptors == null) defaultCallerBounds() else defaultCallerBounds(descriptors)
            return CallerBounds(
                bodyBytes = section.integerOrNull("body_memory_bytes", MEMORY_BYTES) ?: default.bodyBytes,
                headBytes = section.integerOrNull("head_memory_bytes", MEMORY_BYTES) ?: default.headBytes,
                maxConnections = section.integerOrNull("max_connections", CONNECTIONS)?.toInt()
                    ?: default.maxConnections,
                maxRequestsAhead = section.integerOrNull("max_requests_ahead", REQUESTS_AHEAD)?.toInt()
                    ?: default.maxRequestsAhead,
                maxHeadFields = section.integerOrNull("max_head_fields", HEAD_FIELDS)?.toInt()
                    ?: default.maxHeadFields,
                stalledMillis = section.integerOrNull("stalled_ms", STALLED_MILLIS) ?: default.stalledMillis,
            )
        }

        /** Returns the bound in milliseconds, or null unless `revocation_strict` is true. */
        private fun revocationMillisOrNull(section: SectionReader): Long? {
            val millis = section.integerOrNull("revocation_ms", REVOCATION_MILLIS)
            return millis.takeIf { section.textOrNull("revocation_strict") == "true" }
        }

        private fun <T : Any> name(section: SectionReader, key: String, parse: (String) -> T?): T? =
            section.parsed(key, null, "a name of 1 to 64 letters, digits, '.', '_' or '-'", parse)

        private fun millis(section: SectionReader, key: String): Long =
            (number(section, key, MAX_SECONDS) * MILLIS_PER_SECOND).toLong()

        private fun number(section: SectionReader, key: String, max: Double): Double =
            section.parsed(key, null, "a number from 0 to $max") { text ->
                text.toDoubleOrNull()?.takeIf { it in 0.0..max }
            } ?: 0.0
    }
}
