package marigoldward.bench.scenario

import kotlinx.serialization.json.Json
import marigoldward.bench.fleet.Fleet
import marigoldward.standin.ObservedWork

/** Reads the stand-ins' report of the work that they received. */
internal object Observations {
    /** Returns how many requests have reached [upstream]. */
    fun requestCount(fleet: Fleet, upstream: String): Int =
        parse(fleet.observed()).upstreams.firstOrNull { it.id == upstream }?.count ?: 0

    /** Parses the JSON text of a report. */
    fun parse(text: String): ObservedWork.Report = Json.decodeFromString(ObservedWork.Report.serializer(), text)
}
