package marigoldward.core.workspaces

/** The workspaces of a configuration, by their keys. The cost of a look-up doesn't depend on their number. */
public class Workspaces private constructor(
    /** The workspaces in the order of the configuration. */
    public val all: List<Workspace>,
    private val byKey: Map<KeyDigest, Workspace>,
) {
    /** Returns the workspace that [key] belongs to, or null if it belongs to none. */
    public fun ofKeyOrNull(key: String): Workspace? = KeyDigest.ofOrNull(key)?.let(byKey::get)

    /** Two workspaces that have the same key. */
    public data class SharedKey(val first: WorkspaceName, val second: WorkspaceName, val key: KeyDigest)

    /** Finds workspaces. */
    public companion object {
        /** Returns [workspaces] by their keys. Where two share a key, it belongs to the later one. */
        public fun of(workspaces: List<Workspace>): Workspaces {
            val byKey = HashMap<KeyDigest, Workspace>()
            workspaces.forEach { workspace -> workspace.keys.forEach { byKey[it] = workspace } }
            return Workspaces(workspaces, byKey)
        }

        /** Returns the first key that two of [workspaces] have, or null if there is none. */
        public fun sharedKeyOrNull(workspaces: List<Workspace>): SharedKey? {
            val owners = HashMap<KeyDigest, Workspace>()
            workspaces.forEach { workspace ->
                workspace.keys.forEach { key ->
                    owners.put(key, workspace)?.let { return SharedKey(it.name, workspace.name, key) }
                }
            }
            return null
        }
    }
}
