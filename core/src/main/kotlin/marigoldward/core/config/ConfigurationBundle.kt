package marigoldward.core.config

import kotlinx.serialization.Serializable

/** The base file and the overlays of all sites. They are validated, applied and distributed together. */
@Serializable
public data class ConfigurationBundle(val base: SourceFile, val overlays: List<SourceFile>)
