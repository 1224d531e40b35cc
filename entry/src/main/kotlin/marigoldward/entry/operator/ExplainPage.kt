package marigoldward.entry.operator

import marigoldward.core.model.RequestId
import marigoldward.entry.serving.DecisionLog
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status

/** The operators' page `GET /explain?id=REQUEST-ID`, which shows the decisions about a request. */
internal class ExplainPage(private val decisionLog: DecisionLog) {
    /** Returns the decisions about the request, or an error if the id is not valid or not known. */
    fun handle(request: Request): Response {
        if (request.uri.path != "/explain") return Response(Status.NOT_FOUND)
        val text = request.query("id").orEmpty()
        val id = RequestId.parseOrNull(text)
            ?: return Response(Status.BAD_REQUEST)
                .body("query \"id\" has the value \"$text\", which is not a request id\n")
        val lines = decisionLog.linesOf(id)
        if (lines.isEmpty()) return Response(Status.NOT_FOUND).body("request \"$id\" is not known here\n")
        return Response(Status.OK).body(lines.joinToString("\n", postfix = "\n"))
    }
}
