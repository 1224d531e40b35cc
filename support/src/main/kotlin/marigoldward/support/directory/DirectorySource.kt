package marigoldward.support.directory

import marigoldward.core.Outcome
import marigoldward.core.dispatch.ListedUpstream

/** Where the list of upstreams comes from. */
public fun interface DirectorySource {
    /** Reads the whole list; the failure says why it could not be read. Waits for the answer. */
    public fun read(): Outcome<List<ListedUpstream>, String>
}
