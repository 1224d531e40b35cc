package marigoldward.bench.fleet

/** The forwarders of a fleet: one for each ordered pair of processes that communicate. */
internal class ForwarderTable(private val ports: PortAllocation) : AutoCloseable {
    private data class Link(val client: String, val server: String)

    private val forwarders = HashMap<Link, Forwarder>()
    private var faults = emptyMap<String, LinkFault>()

    /** Returns the port at which the process [client] connects to [server]; a process connects to itself directly. */
    @Synchronized
    fun port(client: String, server: String): Int = if (client == server) {
        ports.listenPort(server)
    } else {
        val link = Link(client, server)
        forwarders.getOrPut(link) { Forwarder(ports.listenPort(server)).apply { setState(stateOf(link)) } }.port
    }

    /** Replaces the fault of all connections of the process [name] by [fault], or ends it if [fault] is null. */
    @Synchronized
    fun setFault(name: String, fault: LinkFault?) {
        faults = if (fault == null) faults - name else faults + (name to fault)
        forwarders.forEach { (link, forwarder) -> forwarder.setState(stateOf(link)) }
    }

    /** Resets all open connections of the process [name]. */
    @Synchronized
    fun reset(name: String) {
        forwarders.filterKeys { it.client == name || it.server == name }.values.forEach(Forwarder::reset)
    }

    private fun stateOf(link: Link): LinkState {
        val clientFault = faults[link.client]
        val serverFault = faults[link.server]
        val both = listOfNotNull(clientFault, serverFault)
        val isIsolated = LinkFault.Isolated in both
        return LinkState(
            isClientDataHeld =
            isIsolated || clientFault == LinkFault.OutgoingHeld || serverFault == LinkFault.IncomingHeld,
            isServerDataHeld =
            isIsolated || clientFault == LinkFault.IncomingHeld || serverFault == LinkFault.OutgoingHeld,
            delayMillis = both.filterIsInstance<LinkFault.Delayed>().sumOf { it.millis },
        )
    }

    @Synchronized
    override fun close() {
        forwarders.values.forEach(Forwarder::close)
    }
}
