package marigoldward.core.dispatch

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import marigoldward.core.model.PoolName
import marigoldward.core.model.UpstreamId

/**
 * Decides between the entries of one list that give the same id, of which at most one describes the upstream.
 *
 * Entries of services that are declared go before others. Of these, one at whose address the upstream was not found is
 * used only after the others, then the latest start goes first. Of entries that differ only in their state, the one that
 * says that the upstream is leaving is used.
 *
 * Has no clock of its own and is not thread-safe.
 */
public class DuplicateEntries {
    private var notFoundAt: PersistentMap<UpstreamId, PersistentSet<String>> = persistentMapOf()

    /** Records that the upstream [id] was not found at [address]: nothing accepts connections there, or another answers. */
    public fun recordNotFound(id: UpstreamId, address: String) {
        val addresses = notFoundAt[id] ?: return
        notFoundAt = notFoundAt.put(id, addresses.add(address))
    }

    /** Returns [list] with one entry for each id, in the order of the first entries; [isDeclared] tells of services. */
    public fun resolve(list: List<ListedUpstream>, isDeclared: (PoolName) -> Boolean): List<ListedUpstream> {
        val entriesById = list.groupBy { it.id }
        if (entriesById.size == list.size) {
            notFoundAt = persistentMapOf()
            return list
        }
        val duplicates = entriesById.filterValues { it.size > 1 }
        notFoundAt = duplicates.keys.fold(persistentMapOf()) { kept, id ->
            val addresses = notFoundAt[id] ?: persistentSetOf()
            val hasOther = duplicates.getValue(id).any { isDeclared(it.service) && it.address !in addresses }
            kept.put(id, if (hasOther) addresses else persistentSetOf())
        }
        return entriesById.values.map { entries -> entries.singleOrNull() ?: chosen(entries, isDeclared) }
    }

    private fun chosen(entries: List<ListedUpstream>, isDeclared: (PoolName) -> Boolean): ListedUpstream {
        val notFound = notFoundAt[entries.first().id].orEmpty()
        val chosen = entries.minWith(
            compareBy<ListedUpstream> { !isDeclared(it.service) }
                .thenBy { it.address in notFound }
                .thenByDescending { it.startedUnixMillis ?: Long.MIN_VALUE },
        )
        return entries.firstOrNull { it.isLeaving && it.copy(isLeaving = false) == chosen.copy(isLeaving = false) }
            ?: chosen
    }
}
