package marigoldward.entry

import marigoldward.core.model.DataCentre
import marigoldward.core.model.InstanceId
import marigoldward.core.model.SiteName
import marigoldward.support.program.KeyFile
import marigoldward.support.settings.IniDocument
import marigoldward.support.settings.PeerSettings
import marigoldward.support.settings.ProblemList
import java.net.InetSocketAddress

/**
 * The settings of an entry instance.
 *
 * @property callerListen the address to serve callers at
 * @property listen the address to serve other processes of the system at
 * @property operatorListen the address to serve operators at
 * @property platform the address of the platform, which lists the upstreams
 * @property control the addresses of the control instances
 * @property entries the addresses of all entry instances of the site, this one included
 * @property workerThreads the number of requests that are served at the same time
 * @property graceMillis how long requests are still accepted after readiness has failed during a shutdown
 */
public data class EntrySettings(
    val id: InstanceId,
    val clusterId: String,
    val site: SiteName,
    val dataCentre: DataCentre,
    val callerListen: InetSocketAddress,
    val listen: InetSocketAddress,
    val operatorListen: InetSocketAddress,
    val platform: InetSocketAddress,
    val key: KeyFile,
    val control: Map<InstanceId, InetSocketAddress>,
    val entries: Map<InstanceId, InetSocketAddress>,
    val workerThreads: Int,
    val graceMillis: Long,
) {
    /** Reads settings from files. */
    public companion object {
        private const val NAME_RULE = "a name of 1 to 64 letters, digits, '.', '_' or '-'"
        private const val MAX_THREADS = 20_000L
        private const val DEFAULT_THREADS = 512L
        private const val MAX_GRACE_MILLIS = 60_000L
        private const val DEFAULT_GRACE_MILLIS = 1_000L

        /** Reads the settings in [document] and adds an entry to [problems] for each one that is not valid. */
        public fun read(document: IniDocument, problems: ProblemList): EntrySettings {
            document.requireOnly(listOf("entry", "control", "entries"), problems)
            val section = document.section("entry", problems)
            val settings =
                EntrySettings(
                    id = section.parsed("id", null, NAME_RULE, InstanceId::parseOrNull) ?: InstanceId.parse("invalid"),
                    clusterId = section.text("cluster_id"),
                    site = section.parsed("site", null, NAME_RULE, SiteName::parseOrNull) ?: SiteName.parse("invalid"),
                    dataCentre = section.parsed("data_centre", null, NAME_RULE, DataCentre::parseOrNull)
                        ?: DataCentre.parse("invalid"),
                    callerListen = section.address("caller_listen"),
                    listen = section.address("listen"),
                    operatorListen = section.address("operator_listen"),
                    platform = section.address("platform"),
                    key = KeyFile.read(section, "key_file"),
                    control = PeerSettings.read(document.section("control", problems)),
                    entries = PeerSettings.read(document.section("entries", problems)),
                    workerThreads = section.integer("worker_threads", 1..MAX_THREADS, DEFAULT_THREADS).toInt(),
                    graceMillis = section.integer("grace_ms", 0..MAX_GRACE_MILLIS, DEFAULT_GRACE_MILLIS),
                )
            section.rejectUnknownKeys()
            return settings
        }
    }
}
