package marigoldward.gateway.session

import marigoldward.core.control.Fingerprint
import marigoldward.core.model.PoolName
import marigoldward.core.routes.Route
import marigoldward.core.routes.ServiceDeclaration
import marigoldward.core.workspaces.Access
import marigoldward.core.workspaces.Workspace
import marigoldward.gateway.Dialect
import marigoldward.gateway.caller.CallerExchange
import marigoldward.gateway.message.RequestHead

/**
 * One request with its route and deadline.
 *
 * @property id the id that the caller gave the request
 * @property deadlineMillis when the request must have ended, in milliseconds of monotonic time
 * @property access what the key of the request entitles it to
 */
internal class SessionRequest(
    val id: String,
    val exchange: CallerExchange,
    val metadata: Dialect.RequestMetadata,
    val route: Route,
    val service: ServiceDeclaration,
    val deadlineMillis: Long,
    val access: Access = Access.NoWorkspaces,
) {
    val head: RequestHead get() = exchange.request.head
    val body: ByteArray get() = exchange.request.body
    val arrivedMillis: Long get() = exchange.request.arrivedMillis
    val serviceName: PoolName get() = service.name

    /** The workspace of the caller, or null if the request needed no key. */
    val workspace: Workspace? get() = (access as? Access.Granted)?.workspace

    /** The rank of the request; 0 is the most urgent. */
    val priority: Int get() = workspace?.priority ?: route.priority

    /** What upstreams are told of the caller's workspace. */
    val identity: Dialect.Identity
        get() = when (access) {
            Access.NoWorkspaces -> Dialect.Identity.AsReceived
            is Access.Granted -> Dialect.Identity.Known(access.workspace.name)
            Access.Public, Access.NoKey, Access.UnknownKey -> Dialect.Identity.Anonymous
        }

    /** The fingerprints of the parts of the prompt that other requests may share. */
    val partFingerprints: List<Fingerprint> by lazy {
        metadata.prompt?.sharedParts.orEmpty().map(RequestFingerprints::of)
    }

    /** All fingerprints under which the request may be suspected of crashing upstreams. */
    val fingerprints: List<Fingerprint> by lazy { partFingerprints + RequestFingerprints.of(head, body) }
}
