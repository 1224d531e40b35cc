package marigoldward.bench.fleet

/**
 * The number of processes and emulated upstreams of a fleet.
 *
 * @property dataCentres the data centres; processes and upstreams are assigned to them in turn
 * @property engineSettings additional settings of every emulated engine, as `key = value` lines
 */
public data class FleetLayout(
    val site: String,
    val dataCentres: List<String>,
    val controls: Int,
    val entries: Int,
    val controllers: Int,
    val enginePool: String,
    val engines: Int,
    val servicePool: String,
    val services: Int,
    val engineSettings: List<String> = emptyList(),
) {
    /** Creates layouts. */
    public companion object {
        /** The site Svetloba with three data centres. */
        public val SVETLOBA: FleetLayout =
            FleetLayout(
                site = "svetloba",
                dataCentres = listOf("ljubljana-a", "ljubljana-b", "ljubljana-c"),
                controls = 3,
                entries = 3,
                controllers = 3,
                enginePool = "oblikovalec",
                engines = 6,
                servicePool = "rezervacije",
                services = 3,
            )

        /** The site Preturi with three data centres; its engines don't check fencing tokens. */
        public val PRETURI: FleetLayout =
            FleetLayout(
                site = "preturi",
                dataCentres = listOf("cluj-a", "cluj-b", "oradea-c"),
                controls = 3,
                entries = 3,
                controllers = 3,
                enginePool = "llm-pool",
                engines = 6,
                servicePool = "survey-app",
                services = 3,
                engineSettings = listOf("checks_fencing_token = false"),
            )

        /** All layouts. */
        public val ALL: List<FleetLayout> = listOf(SVETLOBA, PRETURI)
    }
}
