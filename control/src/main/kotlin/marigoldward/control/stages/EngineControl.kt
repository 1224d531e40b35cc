package marigoldward.control.stages

import marigoldward.core.Outcome
import marigoldward.core.dispatch.EngineStage
import marigoldward.core.dispatch.EngineStatus
import marigoldward.core.dispatch.ListedUpstream
import marigoldward.core.model.FencingToken
import marigoldward.core.model.InstanceId

/** Reads the status of engines and sends them orders. Every call waits for its answer. */
public interface EngineControl {
    /** Returns the status of [engine], or the reason why it could not be read. */
    public fun readStatus(engine: ListedUpstream): Reply<Outcome<EngineStatus, String>>

    /** Sends [order] to its engine. */
    public fun send(order: StageOrder): Reply<OrderResult>

    /**
     * The result of a call to an engine.
     *
     * @property isLeaving whether the engine announced in its answer, of whatever status, that it is leaving
     */
    public data class Reply<out T>(val result: T, val isLeaving: Boolean)

    /**
     * An order to change an engine's stage.
     *
     * @property stage the stage to change to
     * @property holder the instance that sends the order
     * @property token the fencing token of the sender
     * @property expectedSequence the number of orders that the engine had accepted when its status was read; it refuses
     * the order if it has accepted others since
     */
    public data class StageOrder(
        val engine: ListedUpstream,
        val stage: EngineStage,
        val holder: InstanceId,
        val token: FencingToken,
        val expectedSequence: Long,
    )

    /** The result of an order. */
    public sealed interface OrderResult {
        /** The engine carries out the order, or is in the requested stage already. */
        public data object Accepted : OrderResult

        /** The engine refused the order, for [reason]. */
        public data class Refused(val reason: String) : OrderResult

        /** The engine refused the order because another sender has used a higher token. */
        public data object StaleToken : OrderResult

        /** There was no answer, for [reason]; the order may still be carried out. */
        public data class Unknown(val reason: String) : OrderResult
    }
}
