package marigoldward.core.config

import marigoldward.core.model.SiteName

/** The validated configuration of all sites: the base file of a [ConfigurationBundle] with each overlay applied. */
public data class GroupConfiguration(val sites: Map<SiteName, SiteConfiguration>)
