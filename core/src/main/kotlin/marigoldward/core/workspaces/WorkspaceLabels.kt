package marigoldward.core.workspaces

/**
 * The names under which workspaces appear in metrics. Their number is bounded: the first [maxOwn] workspaces with a
 * request have their own name, which they keep, and all others share [OTHER]. Large workspaces have their first request
 * early, so they are among the first. A counter never moves between names, so that it never decreases. Not thread-safe.
 */
public class WorkspaceLabels(private val maxOwn: Int) {
    private val own = HashSet<WorkspaceName>()

    /** Returns the name of [workspace] in metrics. */
    public fun labelOf(workspace: WorkspaceName): String =
        if (workspace in own || (own.size < maxOwn && own.add(workspace))) workspace.text else OTHER

    public companion object {
        /** The shared name; the space tells it from the name of any workspace. */
        public const val OTHER: String = "all others"
    }
}
