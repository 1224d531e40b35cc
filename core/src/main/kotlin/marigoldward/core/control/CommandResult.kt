package marigoldward.core.control

import kotlinx.serialization.Serializable

/** The possible results of a command to an engine. */
@Serializable
public enum class CommandResult(
    /** The name of the result in reports. */
    public val label: String,
) {
    /** The engine reported that it carried out the command. */
    DONE("done"),

    /** The engine refused the command. */
    REFUSED("refused"),

    /** The engine is no longer in the list of upstreams, so the result is unknown. */
    ABANDONED("abandoned"),

    /** The engine's state does not match the command; the engine is set aside and gets no work. */
    MISMATCH("mismatch"),
}
