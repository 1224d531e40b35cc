package marigoldward.core.routes

import marigoldward.core.Outcome

/** Parses and validates route configurations in the format that operators submit. */
public fun interface RouteDocumentReader {
    /** Returns the validated configuration in [content], or the problem that makes it invalid. */
    public fun read(content: ByteArray): Outcome<RouteConfiguration, RouteProblem>
}
