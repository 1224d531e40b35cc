package marigoldward.cli.command

import marigoldward.cli.ExitCode
import marigoldward.cli.OperatorSettings
import marigoldward.core.model.RequestId
import marigoldward.support.settings.toText
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

/** `explain REQUEST-ID`: asks each entry in turn for its decisions about a request, until one knows the request. */
internal object ExplainCommand {
    private const val HTTP_OK = 200
    private val TIMEOUT: Duration = Duration.ofSeconds(2)

    fun run(settings: OperatorSettings, requestId: RequestId): ExitCode {
        val client = HttpClient.newBuilder().connectTimeout(TIMEOUT).build()
        var isAnyEntryReached = false
        settings.entryAddresses.forEach { (name, address) ->
            val uri = URI("http://${address.toText()}/explain?id=$requestId")
            val request =
                HttpRequest
                    .newBuilder(uri)
                    .timeout(TIMEOUT)
                    .header("Authorization", "Bearer ${settings.key.secret}")
                    .build()
            try {
                val response = client.send(request, HttpResponse.BodyHandlers.ofString())
                isAnyEntryReached = true
                if (response.statusCode() == HTTP_OK) {
                    response.body().lines().filter { it.isNotEmpty() }.forEach { println("entry=$name $it") }
                    return ExitCode.DONE
                }
            } catch (failure: IOException) {
                System.err.println("entry=$name state=unreachable reason=\"${failure.message}\"")
            }
        }
        System.err.println("result=not_found request=$requestId")
        return if (isAnyEntryReached) ExitCode.REFUSED else ExitCode.UNREACHABLE
    }
}
