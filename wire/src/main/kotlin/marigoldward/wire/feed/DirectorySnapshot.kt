package marigoldward.wire.feed

import kotlinx.serialization.Serializable
import marigoldward.core.dispatch.ListedUpstream

/** The complete list of upstreams at one time. */
@Serializable
public data class DirectorySnapshot(val upstreams: List<ListedUpstream>)
