package marigoldward.core.workspaces

import marigoldward.core.routes.Route

/** What the key of a request entitles it to. */
public sealed interface Access {
    /** Whether the answer depends on the key of the request. */
    public val needsKey: Boolean get() = this is Granted || this == Denied

    /** The configuration has no workspaces. */
    public data object NoWorkspaces : Access

    /** The route needs no key. */
    public data object Public : Access

    /** The key belongs to [workspace]. */
    public data class Granted(val workspace: Workspace) : Access

    /** The key is missing, or belongs to no workspace. */
    public data object Denied : Access

    /** Decides on access. */
    public companion object {
        /** Returns the access of a request on [route] with [key], or with no key if that is null. */
        public fun of(workspaces: Workspaces?, route: Route, key: String?): Access = when {
            workspaces == null -> NoWorkspaces
            route.isPublic -> Public
            else -> key?.let(workspaces::ofKeyOrNull)?.let(::Granted) ?: Denied
        }
    }
}
