package marigoldward.gateway.session

import marigoldward.core.control.Fingerprint
import marigoldward.core.model.PoolName
import marigoldward.core.routes.Route
import marigoldward.core.routes.ServiceDeclaration
import marigoldward.gateway.Dialect
import marigoldward.gateway.caller.CallerExchange
import marigoldward.gateway.message.RequestHead

/**
 * One request with its route and deadline.
 *
 * @property id the id that the caller gave the request
 * @property deadlineMillis when the request must have ended, in milliseconds of monotonic time
 */
internal class SessionRequest(
    val id: String,
    val exchange: CallerExchange,
    val metadata: Dialect.RequestMetadata,
    val route: Route,
    val service: ServiceDeclaration,
    val deadlineMillis: Long,
) {
    val head: RequestHead get() = exchange.request.head
    val body: ByteArray get() = exchange.request.body
    val arrivedMillis: Long get() = exchange.request.arrivedMillis
    val serviceName: PoolName get() = service.name

    /** The fingerprints of the parts of the prompt that other requests may share. */
    val partFingerprints: List<Fingerprint> by lazy {
        metadata.prompt?.sharedParts.orEmpty().map(RequestFingerprints::of)
    }

    /** All fingerprints under which the request may be suspected of crashing upstreams. */
    val fingerprints: List<Fingerprint> by lazy { partFingerprints + RequestFingerprints.of(head, body) }
}
