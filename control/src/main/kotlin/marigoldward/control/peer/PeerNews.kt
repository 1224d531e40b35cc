package marigoldward.control.peer

import marigoldward.wire.peer.DirectoryUpdate

/** What a replica tells the others besides replication. */
internal interface PeerNews {
    /** Returns how many entries watch. */
    fun entries(): Int

    /** Returns what to tell of the list of upstreams to a replica that was told [toldEdition], or null for nothing. */
    fun directoryOrNull(toldEdition: Long?): DirectoryUpdate?

    /** Has nothing to tell. */
    object None : PeerNews {
        override fun entries(): Int = 0

        override fun directoryOrNull(toldEdition: Long?): DirectoryUpdate? = null
    }
}
