package marigoldward.core.control

import kotlinx.serialization.Serializable
import marigoldward.core.model.DataCentre
import marigoldward.core.model.SiteName
import kotlin.jvm.JvmInline

/** The resource that a lease protects: the engines of one site in one data centre, or the role planning of one site. */
@JvmInline
@Serializable
public value class LeaseScope private constructor(
    /** `SITE/DATA-CENTRE` for engines, `SITE//planner` for role planning. */
    public val text: String,
) {
    override fun toString(): String = text

    public companion object {
        /** Returns the scope of the engines of [site] in [dataCentre]. */
        public fun forEngines(site: SiteName, dataCentre: DataCentre): LeaseScope = LeaseScope("$site/$dataCentre")

        /** Returns the scope of the role planning of [site]. */
        public fun forRolePlanning(site: SiteName): LeaseScope = LeaseScope("$site//planner")
    }
}
