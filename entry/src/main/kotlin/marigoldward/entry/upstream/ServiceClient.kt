package marigoldward.entry.upstream

import marigoldward.core.Outcome
import marigoldward.core.model.RequestId
import marigoldward.core.serving.UpstreamInfo
import marigoldward.support.http.boundedBytes
import okhttp3.Headers
import okhttp3.MediaType.Companion.toMediaTypeOrNull
import okhttp3.Request
import okhttp3.RequestBody
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import okhttp3.internal.http.HttpMethod
import java.io.IOException
import java.util.concurrent.TimeUnit

/** Sends calls to services, the upstreams that run no models. Each call is sent once. */
internal class ServiceClient(private val clients: UpstreamClients, private val crashDetector: CrashDetector) {
    /**
     * A call to a service.
     *
     * @property headers the headers of the caller's request that are sent on
     * @property isRepeatable whether it may be sent again after an earlier attempt may have run
     */
    data class ServiceCall(
        val id: RequestId,
        val method: String,
        val pathAndQuery: String,
        val headers: Headers,
        val contentType: String?,
        val body: ByteArray,
        val isRepeatable: Boolean,
        val timeoutMillis: Long,
    )

    /** A complete answer of a service. */
    data class ServiceAnswer(val statusCode: Int, val headers: Headers, val body: ByteArray)

    /** Sends [call] to [service] once. */
    fun send(service: UpstreamInfo, call: ServiceCall): Outcome<ServiceAnswer, AttemptFailure> {
        val transmission = TransmissionListener()
        val request =
            Request
                .Builder()
                .url("http://${service.address}${call.pathAndQuery}")
                .headers(call.headers)
                .header("X-Request-Id", call.id.text)
                .tag(TransmissionListener::class.java, transmission)
                .method(call.method, bodyOf(call))
                .build()
        val httpCall = clients.forCall().newCall(request)
        httpCall.timeout().timeout(maxOf(1, call.timeoutMillis), TimeUnit.MILLISECONDS)
        return try {
            httpCall.execute().use { response ->
                val answeredId = response.header("X-Request-Id")
                if (answeredId != null && answeredId != call.id.text) {
                    return Outcome.Failure(AttemptFailure.Broken("the answer is for $answeredId", isCrash = false))
                }
                if (response.header("X-Not-Run") == "true") {
                    val reason = "the service declared that it had not run the request"
                    return Outcome.Failure(AttemptFailure.NotRun(reason, isUpstreamFault = false))
                }
                val answer = ServiceAnswer(response.code, response.headers, response.boundedBytes())
                if (transmission.hasFailed && !isFramed(response)) {
                    return Outcome.Failure(toAttemptFailure(service, transmission, IOException(LOST_CONNECTION)))
                }
                Outcome.Success(answer)
            }
        } catch (failure: IOException) {
            Outcome.Failure(toAttemptFailure(service, transmission, failure))
        }
    }

    /** Whether the end of the body can be told from the end of the connection. */
    private fun isFramed(response: Response): Boolean =
        response.header("Content-Length") != null || response.header("Transfer-Encoding") == "chunked"

    private fun bodyOf(call: ServiceCall): RequestBody? = if (HttpMethod.permitsRequestBody(call.method)) {
        call.body.toRequestBody(call.contentType?.toMediaTypeOrNull())
    } else {
        null
    }

    private fun toAttemptFailure(
        service: UpstreamInfo,
        transmission: TransmissionListener,
        failure: IOException,
    ): AttemptFailure {
        val reason = failure.message ?: failure.javaClass.simpleName
        if (!transmission.hasStarted) return AttemptFailure.NotRun(reason, isUpstreamFault = true)
        return AttemptFailure.Broken(reason, crashDetector.hasCrashed(service))
    }

    private companion object {
        const val LOST_CONNECTION = "the connection was lost within the answer"
    }
}
