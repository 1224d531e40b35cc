package marigoldward.core.workspaces

/**
 * A customer whose callers share keys, usage and a part of the capacity.
 *
 * @property keys the digests of the keys of its callers
 * @property priority the rank of its requests, which takes precedence over that of their route, or null if it has none
 */
public data class Workspace(val name: WorkspaceName, val keys: Set<KeyDigest>, val priority: Int?)
