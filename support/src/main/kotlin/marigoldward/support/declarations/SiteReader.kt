package marigoldward.support.declarations

import marigoldward.core.config.PlannerSettings
import marigoldward.core.config.PriorityClass
import marigoldward.core.config.RequestLimits
import marigoldward.core.config.SiteConfiguration
import marigoldward.core.config.UpstreamPool
import marigoldward.core.model.ClassName
import marigoldward.core.model.DataCentre
import marigoldward.core.model.PoolName
import marigoldward.core.model.SiteName
import marigoldward.core.model.UpstreamKind
import marigoldward.support.settings.ProblemList
import marigoldward.support.settings.SectionReader

/** Converts a merged document to the configuration of one site. */
internal object SiteReader {
    private const val NAME_RULE = "a name of 1 to 64 letters, digits, '.', '_' or '-'"
    private const val HUNDRED_PERCENT = 100
    private const val MAX_RANK = 15L
    private const val MAX_TARGET_MILLIS = 3_600_000L
    private const val MAX_TOKENS = 1_000_000_000L
    private const val MAX_BODY_BYTES = 67_108_864L
    private const val MAX_CALLER_SHARE = 1_000L
    private const val MAX_SLOTS = 10_000L
    private val PLACEHOLDER_SITE = SiteName.parse("invalid")
    private val PLACEHOLDER_CLASS = ClassName.parse("invalid")

    fun read(document: MergedDocument, problems: ProblemList): SiteConfiguration {
        checkSectionNames(document, problems)
        val classes = sectionsWithPrefix(document, "class ").mapNotNull { readClass(document, it, problems) }
        val pools = sectionsWithPrefix(document, "upstream ").mapNotNull { readPool(document, it, problems) }
        val section = document.section("site", problems)
        val site = section.parsed("name", null, NAME_RULE, SiteName::parseOrNull) ?: PLACEHOLDER_SITE
        val dataCentres = section.parsedList("data_centres", NAME_RULE, DataCentre::parseOrNull)
        val defaultClass = readDefaultClass(section, classes)
        section.rejectUnknownKeys()
        checkClasses(document, classes, problems)
        checkPools(document, pools, problems)
        return SiteConfiguration(
            site = site,
            dataCentres = dataCentres,
            classes = classes.sortedBy { it.rank },
            defaultClass = defaultClass,
            pools = pools,
            limits = readLimits(document.section("limits", problems)),
            planner = readPlanner(document.section("planner", problems)),
        )
    }

    private fun sectionsWithPrefix(document: MergedDocument, prefix: String): List<String> =
        document.sectionNames.filter { it.startsWith(prefix) }

    private fun checkSectionNames(document: MergedDocument, problems: ProblemList) {
        val singleSections = listOf("site", "limits", "planner")
        document.sectionNames
            .filter { it !in singleSections && !it.startsWith("class ") && !it.startsWith("upstream ") }
            .forEach { name ->
                val allowed = "site, limits, planner, class NAME, upstream NAME"
                document.section(name, problems).reject("", "section \"$name\" is not known; allowed: $allowed")
            }
    }

    private fun readDefaultClass(section: SectionReader, classes: List<PriorityClass>): ClassName {
        val names = classes.map { it.name.text }
        val allowed = "one of the classes ${names.joinToString(", ")}"
        val parse: (String) -> ClassName? = { text -> ClassName.parseOrNull(text)?.takeIf { it.text in names } }
        return section.parsed("default_class", null, allowed, parse) ?: PLACEHOLDER_CLASS
    }

    private fun readClass(document: MergedDocument, sectionName: String, problems: ProblemList): PriorityClass? {
        val section = document.section(sectionName, problems)
        val name = ClassName.parseOrNull(sectionName.removePrefix("class ").trim())
        if (name == null) section.reject("", "section \"$sectionName\" needs $NAME_RULE")
        val rank = section.integer("rank", 0..MAX_RANK).toInt()
        val sharePercent = section.integer("guaranteed_share_percent", 0..HUNDRED_PERCENT.toLong()).toInt()
        val firstTokenMillis = section.integer("first_token_target_ms", 1..MAX_TARGET_MILLIS)
        val betweenTokensMillis = section.integer("between_tokens_target_ms", 1..MAX_TARGET_MILLIS)
        val maxQueueMillis = section.integer("max_queue_ms", 1..MAX_TARGET_MILLIS)
        section.rejectUnknownKeys()
        return name?.let {
            PriorityClass(it, rank, sharePercent, firstTokenMillis, betweenTokensMillis, maxQueueMillis)
        }
    }

    private fun readPool(document: MergedDocument, sectionName: String, problems: ProblemList): UpstreamPool? {
        val section = document.section(sectionName, problems)
        val name = PoolName.parseOrNull(sectionName.removePrefix("upstream ").trim())
        if (name == null) section.reject("", "section \"$sectionName\" needs $NAME_RULE")
        val kinds = UpstreamKind.entries.joinToString(" or ") { it.label }
        val kind = section.parsed("kind", null, kinds, UpstreamKind::parseOrNull) ?: UpstreamKind.ENGINE
        val pool = name?.let { createPool(it, kind, section) }
        section.rejectUnknownKeys()
        return pool
    }

    private fun createPool(name: PoolName, kind: UpstreamKind, section: SectionReader): UpstreamPool {
        val isEngine = kind == UpstreamKind.ENGINE
        val tokens = 1..MAX_TOKENS
        return UpstreamPool(
            name = name,
            kind = kind,
            model = if (isEngine) section.text("model") else null,
            pathPrefix = if (isEngine) null else readPathPrefix(section),
            checksFencingToken = isEngine && section.boolean("checks_fencing_token"),
            slots = section.integer("slots", 1..MAX_SLOTS).toInt(),
            prefillTokensPerSecond = if (isEngine) section.integer("prefill_tokens_per_second", tokens) else 0,
            decodeTokensPerSecond = if (isEngine) section.integer("decode_tokens_per_second", tokens) else 0,
            kvCapacityTokens = if (isEngine) section.integer("kv_capacity_tokens", tokens) else 0,
            roleChangeMillis = if (isEngine) section.integer("role_change_ms", 0..MAX_TARGET_MILLIS) else 0,
        )
    }

    private fun readPathPrefix(section: SectionReader): String {
        val allowed = "a path that starts with '/', does not end with it and is not below /v1"
        val parse: (String) -> String? = { text ->
            text.takeIf { it.startsWith("/") && !it.endsWith("/") && it != "/v1" && !it.startsWith("/v1/") }
        }
        return section.parsed("path_prefix", null, allowed, parse) ?: "/invalid"
    }

    private fun readLimits(section: SectionReader): RequestLimits {
        val limits =
            RequestLimits(
                maxBodyBytes = section.integer("max_body_bytes", 1..MAX_BODY_BYTES),
                maxOutputTokens = section.integer("max_output_tokens", 1..MAX_TOKENS),
                callerQueueShares = section.integer("caller_share", 1..MAX_CALLER_SHARE).toInt(),
                requestTimeoutMillis = section.integer("request_timeout_ms", 1..MAX_TARGET_MILLIS),
                retryBudgetPercent = section.integer("retry_budget_percent", 0..HUNDRED_PERCENT.toLong()).toInt(),
            )
        section.rejectUnknownKeys()
        return limits
    }

    private fun readPlanner(section: SectionReader): PlannerSettings {
        val planner =
            PlannerSettings(
                isEnabled = section.boolean("enabled"),
                minRoleChangeIntervalMillis = section.integer("min_dwell_ms", 1..MAX_TARGET_MILLIS),
            )
        section.rejectUnknownKeys()
        return planner
    }

    private fun checkClasses(document: MergedDocument, classes: List<PriorityClass>, problems: ProblemList) {
        val file = document.overlay.file
        if (classes.isEmpty()) problems.add(file, 0, "no class is declared")
        classes.groupBy { it.rank }.filterValues { it.size > 1 }.forEach { (rank, same) ->
            problems.add(file, 0, "the classes ${same.joinToString(", ") { it.name.text }} share the rank $rank")
        }
        val totalPercent = classes.sumOf { it.guaranteedSharePercent }
        if (totalPercent > HUNDRED_PERCENT) {
            problems.add(
                file,
                0,
                "the guaranteed shares of all classes add up to $totalPercent percent; at most 100 are allowed",
            )
        }
    }

    private fun checkPools(document: MergedDocument, pools: List<UpstreamPool>, problems: ProblemList) {
        val file = document.overlay.file
        if (pools.isEmpty()) problems.add(file, 0, "no upstream is declared")
        duplicates(pools.mapNotNull { it.model }).forEach { model ->
            problems.add(file, 0, "more than one upstream pool serves the model \"$model\"")
        }
        duplicates(pools.mapNotNull { it.pathPrefix }).forEach { prefix ->
            problems.add(file, 0, "more than one upstream pool has the path_prefix \"$prefix\"")
        }
    }

    private fun duplicates(texts: List<String>): Set<String> = texts.groupBy { it }.filterValues { it.size > 1 }.keys
}
