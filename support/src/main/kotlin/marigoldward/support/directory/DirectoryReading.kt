package marigoldward.support.directory

import marigoldward.core.dispatch.ListedUpstream

/**
 * A list of upstreams.
 *
 * @property readMillis the monotonic time at which the call that returned the list began
 */
public data class DirectoryReading(val upstreams: List<ListedUpstream>, val readMillis: Long)
