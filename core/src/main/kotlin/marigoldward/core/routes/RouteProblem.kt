package marigoldward.core.routes

import marigoldward.core.workspaces.KeyDigest
import marigoldward.core.workspaces.WorkspaceName

/** Why a route configuration is invalid. */
public sealed interface RouteProblem {
    /** The message for the operator. */
    public val message: String

    /** The document cannot be parsed; [detail] tells the place and the cause. */
    public data class Unreadable(val detail: String) : RouteProblem {
        override val message: String get() = "the configuration cannot be read: $detail"
    }

    /** A route refers to a service that is not declared. */
    public data class UnknownService(val route: String, val service: String) : RouteProblem {
        override val message: String get() = "route \"$route\" names the service \"$service\", which is not declared"
    }

    /** Two routes have the same host and path prefix. */
    public data class SamePlace(val first: String, val second: String) : RouteProblem {
        override val message: String get() = "routes \"$first\" and \"$second\" have the same host and path prefix"
    }

    /** All weights of a route are 0. */
    public data class NoWeight(val route: String) : RouteProblem {
        override val message: String get() = "the weights of route \"$route\" add up to 0"
    }

    /** The timeout of a route is 0. */
    public data class NoTimeout(val route: String) : RouteProblem {
        override val message: String get() = "the timeout of route \"$route\" is 0"
    }

    /** Two workspaces have the same key, named by its digest. */
    public data class SharedKey(val first: WorkspaceName, val second: WorkspaceName, val key: KeyDigest) :
        RouteProblem {
        override val message: String
            get() = "workspaces \"$first\" and \"$second\" share the key with the digest $key"
    }

    /** A value is not allowed; [place] names the object that contains it. */
    public data class BadValue(val place: String, val detail: String) : RouteProblem {
        override val message: String get() = "$place: $detail"
    }
}
