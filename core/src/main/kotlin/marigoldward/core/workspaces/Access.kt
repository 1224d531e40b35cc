package marigoldward.core.workspaces

import marigoldward.core.routes.Route

/** What the key of a request entitles it to. */
public sealed interface Access {
    /** Whether the answer depends on which keys the configuration has. */
    public val dependsOnKeys: Boolean get() = this is Granted || this == UnknownKey

    /** The configuration has no workspaces. */
    public data object NoWorkspaces : Access

    /** The route needs no key. */
    public data object Public : Access

    /** The key belongs to [workspace]. */
    public data class Granted(val workspace: Workspace) : Access

    /** There is no key, or more than one. */
    public data object NoKey : Access

    /** The key belongs to no workspace. */
    public data object UnknownKey : Access

    /** Decides on access. */
    public companion object {
        /** Returns the access of a request on [route] with [key], or with no key if that is null. */
        public fun of(workspaces: Workspaces?, route: Route, key: String?): Access = when {
            workspaces == null -> NoWorkspaces
            route.isPublic -> Public
            key.isNullOrEmpty() -> NoKey
            else -> workspaces.ofKeyOrNull(key)?.let(::Granted) ?: UnknownKey
        }
    }
}
