package marigoldward.core.model

import kotlinx.serialization.Serializable

/** The kind of an upstream, which determines its protocol. */
@Serializable
public enum class UpstreamKind(
    /** The name in settings and reports. */
    public val label: String,
) {
    /** A language-model engine with the OpenAI-compatible API. */
    ENGINE("engine"),

    /** A plain HTTP service. */
    SERVICE("service"),
    ;

    public companion object {
        /** Returns the kind called [label], or null if there is none. */
        public fun parseOrNull(label: String): UpstreamKind? = entries.firstOrNull { it.label == label }
    }
}
