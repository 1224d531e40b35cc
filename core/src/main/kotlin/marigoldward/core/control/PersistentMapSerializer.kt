package marigoldward.core.control

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.MapSerializer
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/** An immutable map that keeps its insertion order; a copy with one entry changed takes logarithmic time. */
public typealias StateMap<K, V> =
    @Serializable(PersistentMapSerializer::class)
    PersistentMap<K, V>

/** Encodes a [PersistentMap] in the same way as a [Map]. */
public class PersistentMapSerializer<K, V>(keys: KSerializer<K>, values: KSerializer<V>) :
    KSerializer<PersistentMap<K, V>> {
    private val mapSerializer = MapSerializer(keys, values)

    override val descriptor: SerialDescriptor = mapSerializer.descriptor

    override fun serialize(encoder: Encoder, value: PersistentMap<K, V>) {
        mapSerializer.serialize(encoder, value)
    }

    override fun deserialize(decoder: Decoder): PersistentMap<K, V> =
        mapSerializer.deserialize(decoder).toPersistentMap()
}
