package marigoldward.core.control

import kotlinx.serialization.Serializable

/**
 * A request that an upstream was answering when it crashed.
 *
 * @property suspects the fingerprints of the request
 */
@Serializable
public data class LostRequest(val suspects: List<Suspect>) {
    /**
     * A fingerprint of the request.
     *
     * @property knownCrashes the number of earlier crashes under it that the reporter knew of when the upstream crashed
     * @property knownWhenSent the number of earlier crashes under it that the reporter knew of when it sent the request;
     *   if there were any, it opened a connection for the request, so that the upstream was running then
     */
    @Serializable
    public data class Suspect(val fingerprint: Fingerprint, val knownCrashes: Int, val knownWhenSent: Int = 0)
}
