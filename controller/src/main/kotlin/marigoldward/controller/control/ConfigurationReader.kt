package marigoldward.controller.control

import marigoldward.core.Outcome
import marigoldward.core.config.SiteConfiguration
import marigoldward.core.getOrNull
import marigoldward.core.model.Revision
import marigoldward.core.model.SiteName
import marigoldward.support.declarations.DeclarationReader
import marigoldward.wire.control.ControlClient

/** Reads the newest configuration that any control instance has. A configuration never replaces a newer one. */
internal class ConfigurationReader(private val site: SiteName, private val control: ControlClient) {
    private var revision = Revision.NONE

    /** The configuration in use, or null before the first one. */
    @Volatile
    var current: SiteConfiguration? = null
        private set

    /** Asks all control instances. Leaves the configuration unchanged if none has a newer valid one. */
    fun read() {
        val newest = control.statuses(withBundle = true).mapNotNull { it.reply.getOrNull() }.maxByOrNull { it.revision }
        val bundle = newest?.bundle ?: return
        if (newest.revision <= revision) return
        val read = DeclarationReader.readSite(bundle, site)
        if (read is Outcome.Success) {
            current = read.value
            revision = newest.revision
        }
    }
}
