package marigoldward.core.control

import kotlinx.serialization.Serializable

/**
 * A fingerprint of a request that an upstream was answering when it crashed.
 *
 * @property knownCrashes the number of earlier crashes under [fingerprint] that the reporter knew of at that time
 */
@Serializable
public data class CrashSuspect(val fingerprint: Fingerprint, val knownCrashes: Int)
