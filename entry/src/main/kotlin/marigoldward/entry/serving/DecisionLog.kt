package marigoldward.entry.serving

import marigoldward.core.model.RequestId
import marigoldward.core.serving.Route
import marigoldward.core.serving.ServingAction
import java.time.Instant

/** The newest decisions by request, so that an operator can ask why a request went where it went. */
internal class DecisionLog {
    private val lines = object : LinkedHashMap<RequestId, List<String>>() {
        override fun removeEldestEntry(eldest: Map.Entry<RequestId, List<String>>): Boolean = size > MAX_REQUESTS
    }

    @Synchronized
    fun add(action: ServingAction) {
        when (action) {
            is ServingAction.Dispatch -> add(action.id, dispatchText(action))
            is ServingAction.Refuse ->
                add(action.id, "event=refused outcome=${action.refusal.label} may_have_run=${action.mayHaveRun}")
            is ServingAction.Quarantine -> Unit
        }
    }

    /** Notes [text], which is `key=value` pairs, about request [id]. */
    @Synchronized
    fun add(id: RequestId, text: String) {
        lines[id] = lines[id].orEmpty() + "time=${Instant.now()} $text"
    }

    /** Returns the lines about request [id], oldest first; empty if nothing is known of it. */
    @Synchronized
    fun linesOf(id: RequestId): List<String> = lines[id].orEmpty()

    private fun dispatchText(action: ServingAction.Dispatch): String {
        val route = when (val route = action.route) {
            is Route.Single -> "upstream=${route.upstream}"
            is Route.Split -> "prefill=${route.prefill} decode=${route.decode}"
        }
        return "event=dispatched attempt=${action.attempt} $route resumed_from=${action.deliveredTokens} " +
            "suspect=${action.isSuspect}"
    }

    private companion object {
        const val MAX_REQUESTS = 20_000
    }
}
