package marigoldward.entry.caller

import marigoldward.core.Outcome
import marigoldward.core.config.SiteConfiguration
import marigoldward.support.time.MonotonicClock
import org.http4k.core.Request
import java.io.IOException

/**
 * A caller's request with its headers checked and its body read.
 *
 * @property arrivedMillis when the request arrived, in milliseconds of monotonic time
 */
internal class ReceivedCall private constructor(
    val arrivedMillis: Long,
    val headers: CallerHeaders,
    val body: ByteArray,
) {
    companion object {
        private const val BAD_REQUEST = 400
        private const val TOO_LARGE = 413

        /** Reads [request]; fails if a header is not valid or the body is too large. */
        fun read(request: Request, configuration: SiteConfiguration): Outcome<ReceivedCall, RequestProblem> {
            val arrivedMillis = MonotonicClock.nowMillis()
            val headers = when (val parsed = CallerHeaders.parse(request, configuration)) {
                is Outcome.Success -> parsed.value
                is Outcome.Failure -> return parsed
            }
            return when (val body = readBody(request, configuration.limits.maxBodyBytes)) {
                is Outcome.Success -> Outcome.Success(ReceivedCall(arrivedMillis, headers, body.value))
                is Outcome.Failure -> body
            }
        }

        private fun readBody(request: Request, maxBytes: Long): Outcome<ByteArray, RequestProblem> {
            val bytes =
                try {
                    request.body.stream.readNBytes(maxBytes.toInt() + 1)
                } catch (failure: IOException) {
                    val message = "the body can't be read: ${failure.message}"
                    return Outcome.Failure(RequestProblem(BAD_REQUEST, "body", message))
                }
            if (bytes.size <= maxBytes) return Outcome.Success(bytes)
            return Outcome.Failure(RequestProblem(TOO_LARGE, "body", "the body is larger than $maxBytes bytes"))
        }
    }
}
