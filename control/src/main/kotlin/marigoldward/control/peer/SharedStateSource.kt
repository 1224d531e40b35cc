package marigoldward.control.peer

import marigoldward.wire.peer.DirectoryUpdate

/** Supplies the state that a replica sends to the others along with replication messages. */
internal interface SharedStateSource {
    /** Returns the number of entries that watch this replica, or all replicas if it leads. */
    fun entryCount(): Int

    /** Returns the update for a replica that was last sent [sentEdition] of the list of upstreams, or null for none. */
    fun directoryUpdateOrNull(sentEdition: Long?): DirectoryUpdate?

    /** Supplies nothing. */
    object None : SharedStateSource {
        override fun entryCount(): Int = 0

        override fun directoryUpdateOrNull(sentEdition: Long?): DirectoryUpdate? = null
    }
}
