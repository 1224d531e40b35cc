package marigoldward.support.directory

import marigoldward.core.dispatch.ListedUpstream

/** A list of upstreams and when the call that brought it began, in milliseconds of monotonic time. */
public data class DirectoryReading(val upstreams: List<ListedUpstream>, val readMillis: Long)
