package marigoldward.core.internal

import kotlinx.collections.immutable.PersistentMap

/** Returns [map] with only its newest [maxSize] entries. */
internal fun <K, V> withoutOldest(map: PersistentMap<K, V>, maxSize: Int): PersistentMap<K, V> {
    val surplus = map.keys.take(maxOf(0, map.size - maxSize))
    return surplus.fold(map) { remaining, key -> remaining.remove(key) }
}
