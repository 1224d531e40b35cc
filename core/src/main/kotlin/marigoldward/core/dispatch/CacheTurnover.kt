package marigoldward.core.dispatch

import marigoldward.core.model.PoolName

/**
 * How long engines keep what they have cached, as one entry can tell from what it sends.
 *
 * An engine drops what was not used for longest once other tokens need the memory. The entry counts the new tokens that
 * it sends to all engines of a stage, and takes the other entries to send as many.
 */
internal class CacheTurnover {
    private data class Group(val service: PoolName, val stage: EngineStage?)

    private var spans = emptyMap<Group, CacheSpan>()

    /** Notes that [engines] engines like [listed] hold [capacityTokens] tokens each; [entries] entries send there. */
    fun sized(listed: ListedUpstream, capacityTokens: Long, engines: Int, entries: Int) {
        val keptTokens = (capacityTokens * KEPT_PART * engines / maxOf(1, entries)).toLong()
        change(listed) { it.copy(keptTokens = keptTokens) }
    }

    /** Notes that an engine like [listed] was sent [tokens] tokens that it did not keep before. */
    fun took(listed: ListedUpstream, tokens: Int) = change(listed) { it.copy(takenTokens = it.takenTokens + tokens) }

    /** Returns how long engines like [listed] keep what they have cached. */
    fun spanOf(listed: ListedUpstream): CacheSpan = spans[groupOf(listed)] ?: CacheSpan.UNKNOWN

    private fun change(listed: ListedUpstream, change: (CacheSpan) -> CacheSpan) {
        spans = spans + (groupOf(listed) to change(spanOf(listed)))
    }

    private fun groupOf(listed: ListedUpstream) = Group(listed.service, listed.stage)

    private companion object {
        /** The part of an engine's memory that holds what it keeps; requests that run take the rest. */
        const val KEPT_PART = 0.7
    }
}
