package marigoldward.support.settings

import marigoldward.core.model.InstanceId
import java.net.InetSocketAddress

/** Reads sections that map instances to their addresses. */
public object PeerSettings {
    /** Returns the address of each instance in [section]. Problems are reported through [section]. */
    public fun read(section: SectionReader): Map<InstanceId, InetSocketAddress> {
        val peers = section.keys.associate { key -> instance(section, key) to section.address(key) }
        if (peers.isEmpty()) section.reject("", "the section lists no instance")
        return peers
    }

    private fun instance(section: SectionReader, key: String): InstanceId {
        val id = InstanceId.parseOrNull(key)
        if (id == null) section.reject(key, "\"$key\" is not the name of an instance")
        return id ?: InstanceId.parse("invalid")
    }
}
