package marigoldward.bench.load

import org.knowm.xchart.VectorGraphicsEncoder
import org.knowm.xchart.XYChartBuilder
import org.knowm.xchart.style.markers.SeriesMarkers
import java.io.File

/** Plots the rate of right answers and the 95th percentile of the time to the first token of each class over time. */
internal object LoadPlot {
    private const val WIDTH = 900
    private const val HEIGHT = 420
    private const val BUCKET_MILLIS = 2_000L
    private const val MILLIS_PER_SECOND = 1_000.0
    private const val QUANTILE = 0.95

    /** The results of one priority class. */
    data class ClassResults(val className: String, val results: List<LoadRun.TimedResult>)

    /** Writes the plot to [file] as SVG; the suffix `.svg` is added to its name. */
    fun write(file: File, classes: List<ClassResults>) {
        val chart =
            XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title("Right answers per second, by time of arrival")
                .xAxisTitle("seconds")
                .yAxisTitle("answers per second, first token p95 in s")
                .build()
        classes.filter { it.results.isNotEmpty() }.forEach { group ->
            val buckets = group.results.groupBy { it.dueMillis / BUCKET_MILLIS }.toSortedMap()
            val seconds = buckets.keys.map { it * BUCKET_MILLIS / MILLIS_PER_SECOND }
            val rightPerSecond = buckets.values.map { bucket ->
                bucket.count { it.result.isRight } * MILLIS_PER_SECOND / BUCKET_MILLIS
            }
            chart.addSeries("${group.className} answers", seconds, rightPerSecond).marker = SeriesMarkers.NONE
            val firstTokenSeconds = buckets.values.map { bucket ->
                p95Seconds(bucket.mapNotNull { it.result.firstTokenMillis })
            }
            chart.addSeries("${group.className} first token", seconds, firstTokenSeconds).marker = SeriesMarkers.NONE
        }
        VectorGraphicsEncoder.saveVectorGraphic(chart, file.path, VectorGraphicsEncoder.VectorGraphicsFormat.SVG)
    }

    private fun p95Seconds(millis: List<Long>): Double {
        if (millis.isEmpty()) return 0.0
        val sorted = millis.sorted()
        return sorted[((sorted.size - 1) * QUANTILE).toInt()] / MILLIS_PER_SECOND
    }
}
