package marigoldward.core.config

import kotlinx.serialization.Serializable

/** A configuration file as it is kept in version control. [name] is the file name without its folder. */
@Serializable
public data class SourceFile(val name: String, val text: String)
