package marigoldward.core.routes

/** Why a configuration of routes can't be put in force. */
public sealed interface RouteProblem {
    /** The problem as a sentence for the operator. */
    public val message: String

    /** It can't be read whole; [detail] says where. */
    public data class Unreadable(val detail: String) : RouteProblem {
        override val message: String get() = "the configuration cannot be read: $detail"
    }

    /** A route leads to a service that is not declared. */
    public data class UnknownService(val route: String, val service: String) : RouteProblem {
        override val message: String get() = "route \"$route\" names the service \"$service\", which is not declared"
    }

    /** Two routes have the same host and path prefix. */
    public data class SamePlace(val first: String, val second: String) : RouteProblem {
        override val message: String get() = "routes \"$first\" and \"$second\" have the same host and path prefix"
    }

    /** The weights of a route don't allow any service. */
    public data class NoWeight(val route: String) : RouteProblem {
        override val message: String get() = "the weights of route \"$route\" add up to 0"
    }

    /** A route gives its requests no time. */
    public data class NoTimeout(val route: String) : RouteProblem {
        override val message: String get() = "the timeout of route \"$route\" is 0"
    }

    /** A value is outside of what it may be. */
    public data class BadValue(val place: String, val detail: String) : RouteProblem {
        override val message: String get() = "$place: $detail"
    }
}
