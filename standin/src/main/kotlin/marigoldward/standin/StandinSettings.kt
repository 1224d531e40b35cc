package marigoldward.standin

import marigoldward.core.model.DataCentre
import marigoldward.core.model.EngineRole
import marigoldward.core.model.PoolName
import marigoldward.core.model.UpstreamId
import marigoldward.standin.engine.EngineSettings
import marigoldward.standin.service.ServiceSettings
import marigoldward.support.settings.IniDocument
import marigoldward.support.settings.ProblemList
import marigoldward.support.settings.SectionReader
import java.net.InetSocketAddress

/**
 * The settings of the stand-in process.
 *
 * @property listen the address that serves the platform's list, fault injection and the observed work
 * @property listLagMillis the delay after which a change shows in the platform's list, in milliseconds
 * @property engines the emulated engines
 * @property services the emulated instances of plain services
 */
public data class StandinSettings(
    val listen: InetSocketAddress,
    val listLagMillis: Long,
    val engines: List<EngineSettings>,
    val services: List<ServiceSettings>,
) {
    /** Reads the settings from an INI document. */
    public companion object {
        private const val NAME_RULE = "a name of 1 to 64 letters, digits, '.', '_' or '-'"
        private const val MAX_MILLIS = 3_600_000L
        private const val MAX_COUNT = 1_000_000_000L
        private val COUNT_RANGE = 1..MAX_COUNT
        private val MILLIS_RANGE = 0..MAX_MILLIS

        /** Reads the settings in [document] and adds any problems to [problems]. */
        public fun read(document: IniDocument, problems: ProblemList): StandinSettings {
            val names = document.sectionNames
            val engineNames = names.filter { it.startsWith("engine ") }
            val serviceNames = names.filter { it.startsWith("service ") }
            document.requireOnly(listOf("standin") + engineNames + serviceNames, problems)
            val section = document.section("standin", problems)
            val settings =
                StandinSettings(
                    listen = section.address("listen"),
                    listLagMillis = section.integer("list_lag_ms", MILLIS_RANGE, 1_000),
                    engines = engineNames.map { readEngine(it, document.section(it, problems)) },
                    services = serviceNames.map { readService(it, document.section(it, problems)) },
                )
            section.rejectUnknownKeys()
            return settings
        }

        private fun readEngine(name: String, section: SectionReader): EngineSettings {
            val roles = EngineRole.entries.joinToString(", ") { it.label }
            val engine =
                EngineSettings(
                    id = readId(name.removePrefix("engine "), section),
                    pool = readPool(section),
                    dataCentre = readDataCentre(section),
                    listen = section.address("listen"),
                    role = section.parsed("role", EngineRole.MIXED, roles, EngineRole::parseOrNull) ?: EngineRole.MIXED,
                    checksFencingToken = section.boolean("checks_fencing_token", true),
                    slots = section.integer("slots", COUNT_RANGE, 16).toInt(),
                    prefillTokensPerSecond = section.integer("prefill_tokens_per_second", COUNT_RANGE, 40_000),
                    decodeTokensPerSecond = section.integer("decode_tokens_per_second", COUNT_RANGE, 2_400),
                    kvCapacityTokens = section.integer("kv_capacity_tokens", COUNT_RANGE, 400_000),
                    roleChangeMillis = section.integer("role_change_ms", MILLIS_RANGE, 4_000),
                    reportLagMillis = section.integer("report_lag_ms", 1..MAX_MILLIS, 200),
                    restartMillis = section.integer("restart_ms", MILLIS_RANGE, 2_000),
                )
            section.rejectUnknownKeys()
            return engine
        }

        private fun readService(name: String, section: SectionReader): ServiceSettings {
            val service =
                ServiceSettings(
                    id = readId(name.removePrefix("service "), section),
                    pool = readPool(section),
                    dataCentre = readDataCentre(section),
                    listen = section.address("listen"),
                    latencyMillis = section.integer("latency_ms", MILLIS_RANGE, 5),
                )
            section.rejectUnknownKeys()
            return service
        }

        private fun readId(text: String, section: SectionReader): UpstreamId {
            val id = UpstreamId.parseOrNull(text.trim())
            if (id == null) section.reject("", "\"$text\" needs $NAME_RULE")
            return id ?: UpstreamId.parse("invalid")
        }

        private fun readPool(section: SectionReader): PoolName =
            section.parsed("pool", null, NAME_RULE, PoolName::parseOrNull) ?: PoolName.parse("invalid")

        private fun readDataCentre(section: SectionReader): DataCentre =
            section.parsed("data_centre", null, NAME_RULE, DataCentre::parseOrNull) ?: DataCentre.parse("invalid")
    }
}
