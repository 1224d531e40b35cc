package marigoldward.core.control

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import marigoldward.core.model.EngineRole

/** A command that changes the state of an engine. */
@Serializable
public sealed interface EngineCommand {
    /** Drains the engine, changes its role to [role] and resumes it. */
    @Serializable
    @SerialName("change-role")
    public data class ChangeRole(val role: EngineRole) : EngineCommand

    /** Loads the given [version] of [model]. */
    @Serializable
    @SerialName("load-model")
    public data class LoadModel(val model: String, val version: String) : EngineCommand

    /** Loads [adapter] on top of the loaded model. */
    @Serializable
    @SerialName("load-adapter")
    public data class LoadAdapter(val adapter: String) : EngineCommand

    /** Accepts no new requests and finishes the running ones. */
    @Serializable
    @SerialName("drain")
    public data object Drain : EngineCommand

    /** Accepts requests again after [Drain]. */
    @Serializable
    @SerialName("resume")
    public data object Resume : EngineCommand
}
