package marigoldward.control.stages

import marigoldward.core.Outcome
import marigoldward.core.dispatch.EngineStage
import marigoldward.core.dispatch.EngineStatus
import marigoldward.core.dispatch.ListedUpstream
import marigoldward.core.model.FencingToken
import marigoldward.core.model.InstanceId

/** How engines are asked and ordered. Every call waits for its answer. */
public interface EngineControl {
    /** Asks [engine] for its state; the failure says why there is none. */
    public fun gauge(engine: ListedUpstream): Outcome<EngineStatus, String>

    /** Sends [order]. */
    public fun send(order: StageOrder): OrderResult

    /**
     * An order to change an engine's stage.
     *
     * @property token the fencing token of the sender's authority
     * @property expectedSequence how many orders the engine had accepted; it refuses if that has changed
     */
    public data class StageOrder(
        val engine: ListedUpstream,
        val stage: EngineStage,
        val holder: InstanceId,
        val token: FencingToken,
        val expectedSequence: Long,
    )

    /** What became of an order. */
    public sealed interface OrderResult {
        /** It is being carried out, or already holds. */
        public data object Accepted : OrderResult

        /** It was not accepted, for [reason]. */
        public data class Refused(val reason: String) : OrderResult

        /** Another sender has used a higher token. */
        public data object StaleToken : OrderResult

        /** It may be carried out later. */
        public data class Unknown(val reason: String) : OrderResult
    }
}
