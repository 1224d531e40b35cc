package marigoldward.bench.policy

/** A policy that routes requests and assigns roles to engines in a simulation. */
internal enum class Policy(val label: String) {
    /** The routing and role decisions of this project. */
    MARIGOLDWARD("marigoldward"),

    /** The routing decisions of this project with fixed roles. */
    NO_ROLE_CHANGES("no role changes"),

    /** The routing decisions of this project; roles follow the demand of the last seconds without delay. */
    CHANGE_AT_ONCE("change at once"),

    /** Each request is forwarded without queueing to the next engine in turn, which serves in order of arrival. */
    ROUND_ROBIN("round robin fifo"),

    /** Each request is forwarded without queueing to the engine with the lowest reported load. */
    LEAST_REPORTED("least reported load"),
    ;

    /** Whether requests are routed by the decisions of this project. */
    val usesServingDecisions: Boolean get() = this == MARIGOLDWARD || this == NO_ROLE_CHANGES || this == CHANGE_AT_ONCE
}
