package marigoldward.support.http

import okhttp3.Response
import java.io.IOException

/** The longest body of a message between programs, in bytes. */
private const val MAX_BODY_BYTES = 4L * 1024 * 1024

/**
 * Returns the body as UTF-8 text, or an empty text if there is none.
 *
 * @throws IOException if the body is longer than 4 MiB or the connection fails
 */
public fun Response.boundedText(): String = boundedBytes().decodeToString()

/**
 * Returns the body, or an empty array if there is none.
 *
 * @throws IOException if the body is longer than 4 MiB or the connection fails
 */
public fun Response.boundedBytes(): ByteArray {
    val source = body?.source() ?: return ByteArray(0)
    if (source.request(MAX_BODY_BYTES + 1)) throw IOException("the body is longer than $MAX_BODY_BYTES bytes")
    return source.readByteArray()
}
