package marigoldward.core.serving

/** The result of one event: the next [state], and the [actions] to carry out in their order. */
public data class ServingStep(val state: ServingState, val actions: List<ServingAction>) {
    internal fun then(next: (ServingState) -> ServingStep): ServingStep {
        val step = next(state)
        return ServingStep(step.state, actions + step.actions)
    }
}

internal fun ServingState.withoutActions(): ServingStep = ServingStep(this, emptyList())

internal fun ServingState.withActions(vararg actions: ServingAction): ServingStep = ServingStep(this, actions.toList())
