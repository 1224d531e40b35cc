package marigoldward.core.model

import kotlinx.serialization.Serializable

/** The phases of a request that an engine runs. */
@Serializable
public enum class EngineRole(
    /** The name in settings, commands and reports. */
    public val label: String,
) {
    /** Runs only the prefill of prompts and exports their KV cache. */
    PREFILL("prefill"),

    /** Runs only the decoding, from an imported KV cache. */
    DECODE("decode"),

    /** Runs both prefill and decode. */
    MIXED("mixed"),
    ;

    public companion object {
        /** Returns the role called [label], or null if there is none. */
        public fun parseOrNull(label: String): EngineRole? = entries.firstOrNull { it.label == label }
    }
}
