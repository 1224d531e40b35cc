package marigoldward.core.dispatch

/** What an engine does. */
public enum class EngineStage {
    /** Reads prompts for other engines. */
    PREFILL,

    /** Generates; reads prompts itself where it has to, at a lower rate. */
    DECODE,
}
