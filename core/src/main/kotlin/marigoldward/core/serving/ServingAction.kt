package marigoldward.core.serving

import marigoldward.core.control.Fingerprint
import marigoldward.core.model.RequestId

/** An action that the caller of [Serving.step] has to carry out. */
public sealed interface ServingAction {
    /**
     * Sends an attempt.
     *
     * @property deliveredTokens the number of tokens that the caller already has; the answer resumes after them
     * @property prefillTokens the prompt tokens to prefill, without those expected in the prefix cache
     * @property isSuspect whether an upstream crashed while it ran the request
     */
    public data class Dispatch(
        val id: RequestId,
        val attempt: Int,
        val route: Route,
        val deliveredTokens: Long,
        val prefillTokens: Long,
        val isSuspect: Boolean,
    ) : ServingAction

    /** Ends a request without an answer. Unless [mayHaveRun] is set, no upstream has run any part of it. */
    public data class Refuse(val id: RequestId, val refusal: Refusal, val mayHaveRun: Boolean) : ServingAction

    /** Quarantines [fingerprint] on all processes, since requests with it crash the upstreams that run them. */
    public data class Quarantine(val fingerprint: Fingerprint, val reason: String) : ServingAction
}
