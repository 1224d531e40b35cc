package marigoldward.support.metrics

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.http4k.core.Response
import org.http4k.core.Status
import java.io.ByteArrayOutputStream

/** The process's metrics in the Prometheus text format. */
public object MetricsPage {
    /** The text of the page and its media type. */
    public data class Text(val contentType: String, val text: String)

    /** Returns the current values. */
    public fun current(): Text {
        val output = ByteArrayOutputStream()
        val writer = PrometheusTextFormatWriter.create()
        writer.write(output, PrometheusRegistry.defaultRegistry.scrape())
        return Text(writer.contentType, output.toString(Charsets.UTF_8))
    }

    /** Returns the current values as an HTTP response. */
    public fun render(): Response {
        val page = current()
        return Response(Status.OK).header("Content-Type", page.contentType).body(page.text)
    }
}
