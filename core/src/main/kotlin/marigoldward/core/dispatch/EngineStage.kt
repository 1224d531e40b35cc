package marigoldward.core.dispatch

/** The work that an engine does. */
public enum class EngineStage {
    /** Processes prompts whose tokens other engines generate. */
    PREFILL,

    /** Generates tokens; processes prompts itself where necessary, at a lower rate. */
    DECODE,
}
