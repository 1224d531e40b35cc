package marigoldward.control.peer

import marigoldward.core.control.ControlState
import marigoldward.core.replication.EntryPayload
import marigoldward.core.replication.LogEntry
import marigoldward.core.replication.ReplicaMessage

/** Divides replication messages among envelopes whose size the receiver accepts. */
internal object EnvelopeParts {
    /** The most messages in one envelope. */
    const val MAX_MESSAGES = 32

    /**
     * The approximate size from which on an envelope takes no further message. One message may be larger: it holds at
     * least one entry or the whole state.
     */
    const val MAX_BYTES = 4_194_304L

    /** Returns [items] in their order, in parts of at most [MAX_MESSAGES] and [MAX_BYTES], or a single larger one. */
    fun <T> split(items: List<T>, message: (T) -> ReplicaMessage): List<List<T>> {
        val parts = ArrayList<MutableList<T>>()
        var partBytes = 0L
        items.forEach { item ->
            val bytes = approximateBytes(message(item))
            val current = parts.lastOrNull()
            if (current == null || current.size == MAX_MESSAGES || partBytes + bytes > MAX_BYTES) {
                parts.add(mutableListOf(item))
                partBytes = bytes
            } else {
                current.add(item)
                partBytes += bytes
            }
        }
        return parts
    }

    private fun approximateBytes(message: ReplicaMessage): Long = when (message) {
        is ReplicaMessage.Append -> message.entries.sumOf(::approximateBytes)
        is ReplicaMessage.Install -> approximateBytes(message.snapshot.state)
        is ReplicaMessage.AppendReply, is ReplicaMessage.VoteReply, is ReplicaMessage.VoteRequest -> 0
    }

    private fun approximateBytes(entry: LogEntry): Long = when (val payload = entry.payload) {
        is EntryPayload.Command -> payload.command.approximateBytes
        is EntryPayload.MembersChange, EntryPayload.Noop -> 0
    }

    private fun approximateBytes(state: ControlState): Long {
        val bundle = state.bundle
        val bundleChars = if (bundle == null) 0 else bundle.base.text.length + bundle.overlays.sumOf { it.text.length }
        return bundleChars.toLong() + (state.routes?.compressed?.size ?: 0)
    }
}
