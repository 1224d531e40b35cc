package marigoldward.core.control

import kotlinx.serialization.Serializable

/**
 * The stored response to a request with an idempotency key, returned when the request is sent again.
 *
 * @property body the response body, or null if it was too large to store
 */
@Serializable
public data class StoredAnswer(val statusCode: Int, val contentType: String, val body: String?)
