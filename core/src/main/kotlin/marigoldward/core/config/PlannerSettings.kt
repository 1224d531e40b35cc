package marigoldward.core.config

/**
 * Settings of the role planner, which changes engine roles to follow the mix of prefill and decode work.
 *
 * @property isEnabled whether the controller changes roles without an operator
 * @property minRoleChangeIntervalMillis the shortest time between two role changes of one pool, in milliseconds
 */
public data class PlannerSettings(val isEnabled: Boolean, val minRoleChangeIntervalMillis: Long)
