package marigoldward.entry.serving

import marigoldward.core.model.RequestId
import marigoldward.core.serving.Route
import marigoldward.core.serving.ServingAction
import java.time.Instant

/**
 * The serving decisions about the most recent requests, for operators who ask why a request was routed as it was.
 *
 * It holds at most [MAX_REQUESTS] requests and then drops the oldest. It is thread-safe.
 */
internal class DecisionLog {
    private val linesByRequest = object : LinkedHashMap<RequestId, List<String>>() {
        override fun removeEldestEntry(eldest: Map.Entry<RequestId, List<String>>): Boolean = size > MAX_REQUESTS
    }

    /** Adds a line about [action], unless it concerns no single request. */
    @Synchronized
    fun add(action: ServingAction) {
        when (action) {
            is ServingAction.Dispatch -> add(action.id, describe(action))
            is ServingAction.Refuse ->
                add(action.id, "event=refused outcome=${action.refusal.label} may_have_run=${action.mayHaveRun}")
            is ServingAction.Quarantine -> Unit
        }
    }

    /** Adds a line about request [id]; [text] consists of `key=value` pairs. */
    @Synchronized
    fun add(id: RequestId, text: String) {
        linesByRequest[id] = linesByRequest[id].orEmpty() + "time=${Instant.now()} $text"
    }

    /** Returns the lines about request [id], oldest first, or an empty list if there are none. */
    @Synchronized
    fun linesOf(id: RequestId): List<String> = linesByRequest[id].orEmpty()

    private fun describe(action: ServingAction.Dispatch): String {
        val upstreams = when (val route = action.route) {
            is Route.Single -> "upstream=${route.upstream}"
            is Route.Split -> "prefill=${route.prefill} decode=${route.decode}"
        }
        return "event=dispatched attempt=${action.attempt} $upstreams resumed_from=${action.deliveredTokens} " +
            "suspect=${action.isSuspect}"
    }

    private companion object {
        const val MAX_REQUESTS = 20_000
    }
}
