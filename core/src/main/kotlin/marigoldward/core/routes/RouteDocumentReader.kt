package marigoldward.core.routes

import marigoldward.core.Outcome

/** Reads a configuration of routes in the format in which operators send it. */
public fun interface RouteDocumentReader {
    /** Returns the checked configuration in [content], or what is wrong with it. */
    public fun read(content: ByteArray): Outcome<RouteConfiguration, RouteProblem>
}
