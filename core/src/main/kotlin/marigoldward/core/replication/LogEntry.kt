package marigoldward.core.replication

import kotlinx.serialization.Serializable

/** An entry of the replicated log. Indexes start at 1 and are contiguous. */
@Serializable
public data class LogEntry(val index: Long, val term: Long, val payload: EntryPayload)
