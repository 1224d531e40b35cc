package marigoldward.control.capacity

import marigoldward.core.Outcome
import marigoldward.core.capacity.EngineScaling
import marigoldward.core.model.PoolName
import marigoldward.core.routes.RouteDocument
import marigoldward.core.routes.RouteDocumentReader
import marigoldward.support.bytes.Gzip
import marigoldward.support.log.EventLog
import java.io.IOException

/**
 * The services of the configuration in force whose engines are ordered. Reads each version once. Thread-safe.
 *
 * @param document returns the configuration in force, or null if there is none
 */
internal class ScaledServices(private val reader: RouteDocumentReader, private val document: () -> RouteDocument?) {
    private var version: Long? = null
    private var services: Map<PoolName, EngineScaling> = emptyMap()

    /** Returns the services with their limits; those of the version before if the newest can't be read. */
    @Synchronized
    fun current(): Map<PoolName, EngineScaling> {
        val newest = document() ?: return emptyMap()
        if (newest.version == version) return services
        version = newest.version
        try {
            when (val read = reader.read(Gzip.decompress(newest.compressed, RouteDocument.MAX_CONTENT_BYTES))) {
                is Outcome.Success -> services = read.value.services.values.mapNotNull { service ->
                    service.scaling?.let { service.name to it }
                }.toMap()
                is Outcome.Failure -> logUnreadable(newest.version, read.error.message)
            }
        } catch (failure: IOException) {
            logUnreadable(newest.version, failure.message)
        }
        return services
    }

    private fun logUnreadable(version: Long, reason: String?) = log.warn("scaling_unreadable") {
        field("version", version)
        field("reason", reason)
    }

    private companion object {
        val log = EventLog.fromName("capacity")
    }
}
