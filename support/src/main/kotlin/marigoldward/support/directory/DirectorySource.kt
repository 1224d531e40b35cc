package marigoldward.support.directory

import marigoldward.core.Outcome
import marigoldward.core.dispatch.ListedUpstream

/** The source of the list of upstreams. */
public fun interface DirectorySource {
    /** Returns the whole list, or the reason why it could not be read. Blocks until the source has answered. */
    public fun read(): Outcome<List<ListedUpstream>, String>
}
