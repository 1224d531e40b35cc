package marigoldward.core.planning

/** The planner's state after a decision, and the role change to make, or null for none. */
public data class PlanDecision(val state: PlannerState, val change: RoleChange?)
