package marigoldward.control.capacity

import io.prometheus.metrics.core.metrics.Gauge
import marigoldward.core.capacity.EngineCount
import marigoldward.core.model.DataCentre
import marigoldward.core.model.PoolName

/** The metrics of the engines that the leader orders. */
internal object CapacityMetrics {
    private val wantedEngines: Gauge =
        Gauge
            .builder()
            .name("marigoldward_engines_wanted")
            .help("Engines of both kinds that a data centre should have, as planned by this instance")
            .labelNames("service", "data_centre")
            .register()
    private val servingEngines: Gauge =
        Gauge
            .builder()
            .name("marigoldward_engines_serving")
            .help("Engines that serve and are not leaving, by kind")
            .labelNames("service", "data_centre", "kind")
            .register()
    private val neededEngines: Gauge =
        Gauge
            .builder()
            .name("marigoldward_engines_needed")
            .help("Engines that the demand needs without any reserve, or -1 if the demand is not known")
            .labelNames("service")
            .register()

    fun record(
        service: PoolName,
        wanted: Map<DataCentre, Int>,
        serving: Map<DataCentre, EngineCount>,
        needed: Double?,
    ) {
        wanted.forEach { (dataCentre, count) ->
            wantedEngines.labelValues(service.text, dataCentre.text).set(count.toDouble())
            val engines = serving[dataCentre]
            val regular = engines?.regular ?: 0
            val reclaimable = engines?.reclaimable ?: 0
            servingEngines.labelValues(service.text, dataCentre.text, "regular").set(regular.toDouble())
            servingEngines.labelValues(service.text, dataCentre.text, "reclaimable").set(reclaimable.toDouble())
        }
        neededEngines.labelValues(service.text).set(needed ?: -1.0)
    }
}
