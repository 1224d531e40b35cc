package marigoldward.bench.fleet

import java.io.File

/** Writes the settings files and the key file of a fleet. */
internal class FleetSettingsFiles(
    private val folder: File,
    private val layout: FleetLayout,
    private val ports: PortAllocation,
    private val forwarders: ForwarderTable,
) {
    private val keyFile = File(folder, "key")

    /** Returns the settings file of the process [name]. */
    fun fileOf(name: String): File = File(folder, "$name.ini")

    fun write(controls: List<String>, entries: List<String>, controllers: List<String>) {
        keyFile.writeText(CLUSTER_KEY + "\n")
        keyFile.setReadable(false, false)
        keyFile.setReadable(true, true)
        controls.forEach { writeControl(it, controls) }
        entries.forEachIndexed { position, name -> writeEntry(name, position, controls, entries) }
        controllers.forEachIndexed { position, name -> writeController(name, position, controls, entries) }
        writeStandin()
        writeOperator(controls, entries)
    }

    private fun writeControl(name: String, controls: List<String>) {
        val lines =
            listOf("[control]", "id = $name") + clusterLines() +
                listenLines(name) +
                "data_folder = ${File(folder, "$name-data").path}" +
                listOf("", "[peers]") + addressLines(name, controls)
        write(name, lines)
    }

    private fun writeEntry(name: String, position: Int, controls: List<String>, entries: List<String>) {
        val lines =
            listOf("[entry]", "id = $name") + clusterLines() +
                listenLines(name) +
                listOf(
                    "site = ${layout.site}",
                    "data_centre = ${dataCentreOf(position)}",
                    "caller_listen = ${Fleet.LOOPBACK}:${ports.callerPort(name)}",
                    "platform = ${Fleet.LOOPBACK}:${ports.listenPort(Fleet.STANDIN)}",
                    "",
                    "[control]",
                ) + addressLines(name, controls) + listOf("", "[entries]") + addressLines(name, entries)
        write(name, lines)
    }

    private fun writeController(name: String, position: Int, controls: List<String>, entries: List<String>) {
        val lines =
            listOf("[controller]", "id = $name") + clusterLines() +
                listOf(
                    "site = ${layout.site}",
                    "data_centre = ${dataCentreOf(position)}",
                    "operator_listen = ${Fleet.LOOPBACK}:${ports.operatorPort(name)}",
                    "platform = ${Fleet.LOOPBACK}:${ports.listenPort(Fleet.STANDIN)}",
                    "",
                    "[control]",
                ) + addressLines(name, controls) + listOf("", "[entries]") + addressLines(name, entries)
        write(name, lines)
    }

    private fun writeStandin() {
        val engines = (1..layout.engines).flatMap { number ->
            listOf("", "[engine ${layout.enginePool}-$number]", "pool = ${layout.enginePool}") +
                upstreamLines(number) + layout.engineSettings
        }
        val services = (1..layout.services).flatMap { number ->
            listOf("", "[service ${layout.servicePool}-$number]", "pool = ${layout.servicePool}") +
                upstreamLines(number)
        }
        val listen = "listen = ${Fleet.LOOPBACK}:${ports.listenPort(Fleet.STANDIN)}"
        write(Fleet.STANDIN, listOf("[standin]", listen, "list_lag_ms = 500") + engines + services)
    }

    private fun upstreamLines(number: Int): List<String> =
        listOf("data_centre = ${dataCentreOf(number - 1)}", "listen = ${Fleet.LOOPBACK}:0")

    private fun writeOperator(controls: List<String>, entries: List<String>) {
        val controlLines = controls.map { "$it = ${Fleet.LOOPBACK}:${ports.listenPort(it)}" }
        val entryLines = entries.map { "$it = ${Fleet.LOOPBACK}:${ports.operatorPort(it)}" }
        write(
            "operator",
            listOf("[operator]") + clusterLines() + "" + "[control]" + controlLines + "" + "[entries]" + entryLines,
        )
    }

    private fun clusterLines(): List<String> = listOf("cluster_id = $CLUSTER_ID", "key_file = ${keyFile.path}")

    private fun listenLines(name: String): List<String> = listOf(
        "listen = ${Fleet.LOOPBACK}:${ports.listenPort(name)}",
        "operator_listen = ${Fleet.LOOPBACK}:${ports.operatorPort(name)}",
    )

    private fun addressLines(client: String, servers: List<String>): List<String> =
        servers.map { "$it = ${Fleet.LOOPBACK}:${forwarders.port(client, it)}" }

    private fun dataCentreOf(position: Int): String = layout.dataCentres[position % layout.dataCentres.size]

    private fun write(name: String, lines: List<String>) {
        fileOf(name).writeText(lines.joinToString("\n", postfix = "\n"))
    }

    companion object {
        const val CLUSTER_KEY: String = "loopback-test-key-0123456789"
        private const val CLUSTER_ID = "test-cluster"
    }
}
