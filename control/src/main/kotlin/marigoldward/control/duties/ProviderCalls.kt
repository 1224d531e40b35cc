package marigoldward.control.duties

import marigoldward.core.model.DataCentre
import marigoldward.core.model.FencingToken
import marigoldward.core.model.PoolName

/**
 * Calls to the platform's provider that are the duty of one control instance at a time. Every call waits for its
 * answer.
 *
 * A call is written only if `mayWrite` returns true right before that, as the holder's token must have been confirmed a
 * short time ago, and connecting may take long.
 */
public interface ProviderCalls {
    /** Reports the usage of one window. An exact repeat has no further effect. */
    public fun reportUsage(report: UsageCall, mayWrite: () -> Boolean): CallResult

    /** Sets the number of engines of a service in a data centre. */
    public fun orderEngines(order: EngineOrder, mayWrite: () -> Boolean): CallResult

    /**
     * The usage of a window.
     *
     * @property holder the name of the instance that performs the duty
     * @property token its fencing token
     * @property counts the number of requests that began to run, by the name of the workspace
     */
    public data class UsageCall(
        val holder: String,
        val token: FencingToken,
        val window: Long,
        val counts: Map<String, Long>,
    )

    /**
     * An order for engines.
     *
     * @property isReclaimable whether the order is for engines that cost less and that the provider may take away
     */
    public data class EngineOrder(
        val holder: String,
        val token: FencingToken,
        val service: PoolName,
        val dataCentre: DataCentre,
        val count: Int,
        val isReclaimable: Boolean,
    )

    /** The result of a call. */
    public sealed interface CallResult {
        /** The provider has accepted the call. */
        public data object Accepted : CallResult

        /** The provider refused the call with a conflict: a higher token was seen, or there are no such engines now. */
        public data object Conflict : CallResult

        /** The provider refused the call for now, for [reason]: too many calls, or an error of its own. */
        public data class TryLater(val reason: String) : CallResult

        /** The provider refused the call for good, for [reason]. */
        public data class Refused(val reason: String) : CallResult

        /** Nothing of the call was written, for [reason]; it will never be carried out. */
        public data class NotSent(val reason: String) : CallResult

        /** There was no answer, for [reason]; the call may still be carried out. */
        public data class Unknown(val reason: String) : CallResult
    }
}
