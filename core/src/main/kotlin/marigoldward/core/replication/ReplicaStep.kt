package marigoldward.core.replication

/** The result of handling an event: the next [state] and the [actions] to carry out, in order. */
public data class ReplicaStep(val state: ReplicaState, val actions: List<ReplicaAction>) {
    internal fun plus(action: ReplicaAction): ReplicaStep = copy(actions = actions + action)

    /** Returns the step that ends in the state of [next], with the actions of both in order. */
    internal fun then(next: (ReplicaState) -> ReplicaStep): ReplicaStep {
        val step = next(state)
        return ReplicaStep(step.state, actions + step.actions)
    }
}

internal fun ReplicaState.withoutActions(): ReplicaStep = ReplicaStep(this, emptyList())

internal fun ReplicaState.withActions(vararg actions: ReplicaAction): ReplicaStep = ReplicaStep(this, actions.toList())
