package marigoldward.core.config

import marigoldward.core.model.ClassName
import marigoldward.core.model.DataCentre
import marigoldward.core.model.SiteName

/** The validated configuration of one site: the base file with the site's overlay applied. */
public data class SiteConfiguration(
    val site: SiteName,
    val dataCentres: List<DataCentre>,
    val classes: List<PriorityClass>,
    val defaultClass: ClassName,
    val pools: List<UpstreamPool>,
    val limits: RequestLimits,
    val planner: PlannerSettings,
) {
    /** Returns the priority class called [name], or null if the site has none. */
    public fun classOrNull(name: String): PriorityClass? = classes.firstOrNull { it.name.text == name }

    /** Returns the engine pool that serves [model], or null if none does. */
    public fun poolForModelOrNull(model: String): UpstreamPool? = pools.firstOrNull { it.model == model }

    /** Returns the service pool with the longest path prefix of [path], or null if none matches. */
    public fun poolForPathOrNull(path: String): UpstreamPool? = pools
        .filter { it.pathPrefix != null && isBelow(path, it.pathPrefix) }
        .maxByOrNull { it.pathPrefix.orEmpty().length }

    private fun isBelow(path: String, prefix: String): Boolean = path == prefix || path.startsWith("$prefix/")
}
