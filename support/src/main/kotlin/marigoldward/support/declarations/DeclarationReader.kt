package marigoldward.support.declarations

import marigoldward.core.Outcome
import marigoldward.core.config.ConfigurationBundle
import marigoldward.core.config.GroupConfiguration
import marigoldward.core.config.SiteConfiguration
import marigoldward.core.config.SourceFile
import marigoldward.core.model.SiteName
import marigoldward.support.settings.IniDocument
import marigoldward.support.settings.ProblemList
import marigoldward.support.settings.SettingsProblem

/**
 * Reads a configuration bundle: merges its base with each overlay and validates the result.
 *
 * A bundle with at least one problem is rejected as a whole; no part of it is ever applied.
 */
public object DeclarationReader {
    private const val MAX_BUNDLE_CHARACTERS = 4_194_304

    /** Returns the configuration of every site, or all problems that were found. */
    public fun read(bundle: ConfigurationBundle): Outcome<GroupConfiguration, List<SettingsProblem>> {
        val problems = ProblemList.create()
        val files = listOf(bundle.base) + bundle.overlays
        if (files.sumOf { it.text.length } > MAX_BUNDLE_CHARACTERS) {
            problems.add(bundle.base.name, 0, "the bundle is larger than $MAX_BUNDLE_CHARACTERS characters")
            return Outcome.Failure(problems.toList())
        }
        val base = parse(bundle.base, problems)
        val overlays = bundle.overlays.mapNotNull { parse(it, problems) }
        if (base == null || problems.isNotEmpty()) return Outcome.Failure(problems.toList())
        val sites = overlays.map { overlay -> SiteReader.read(MergedDocument.fromFiles(base, overlay), problems) }
        checkSites(bundle, sites, problems)
        if (problems.isNotEmpty()) return Outcome.Failure(problems.toList())
        return Outcome.Success(GroupConfiguration(sites.associateBy(SiteConfiguration::site)))
    }

    /** Returns the configuration of [site], or the problems of the bundle. */
    public fun readSite(
        bundle: ConfigurationBundle,
        site: SiteName,
    ): Outcome<SiteConfiguration, List<SettingsProblem>> = when (val group = read(bundle)) {
        is Outcome.Failure -> group
        is Outcome.Success -> {
            val found = group.value.sites[site]
            val missing = SettingsProblem(bundle.base.name, 0, "there is no overlay for the site \"$site\"")
            if (found == null) Outcome.Failure(listOf(missing)) else Outcome.Success(found)
        }
    }

    private fun parse(source: SourceFile, problems: ProblemList): IniDocument? =
        when (val document = IniDocument.parse(source)) {
            is Outcome.Success -> document.value
            is Outcome.Failure -> {
                document.error.forEach { problems.add(it.file, it.line, it.message) }
                null
            }
        }

    private fun checkSites(bundle: ConfigurationBundle, sites: List<SiteConfiguration>, problems: ProblemList) {
        if (sites.isEmpty()) problems.add(bundle.base.name, 0, "the bundle has no overlay; each site needs one")
        sites.groupBy { it.site }.filterValues { it.size > 1 }.keys.forEach { site ->
            problems.add(bundle.base.name, 0, "there is more than one overlay for the site \"$site\"")
        }
    }
}
