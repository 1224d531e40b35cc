package marigoldward.bench.fleet

/** One forwarder for each ordered pair of processes that talk. */
internal class ForwarderTable(private val ports: PortPlan) : AutoCloseable {
    private data class Link(val from: String, val to: String)

    private val forwarders = HashMap<Link, Forwarder>()
    private var faults = emptyMap<String, LinkFault>()

    /** The port at which [from] reaches [to]. */
    @Synchronized
    fun port(from: String, to: String): Int = if (from ==
        to
    ) {
        ports.processes(to)
    } else {
        val link = Link(from, to)
        forwarders.getOrPut(link) { Forwarder(ports.processes(to)).apply { change(stateOf(link)) } }.port
    }

    /** Brings [fault] about at all connections of [name], or ends what there is if it is null. */
    @Synchronized
    fun setFault(name: String, fault: LinkFault?) {
        faults = if (fault == null) faults - name else faults + (name to fault)
        forwarders.forEach { (link, forwarder) -> forwarder.change(stateOf(link)) }
    }

    /** Resets all connections of [name] that are open now. */
    @Synchronized
    fun reset(name: String) {
        forwarders.filterKeys { it.from == name || it.to == name }.values.forEach(Forwarder::reset)
    }

    private fun stateOf(link: Link): LinkState {
        val ofCaller = faults[link.from]
        val ofCalled = faults[link.to]
        val both = listOfNotNull(ofCaller, ofCalled)
        val isCut = LinkFault.Cut in both
        return LinkState(
            isUpHeld = isCut || ofCaller == LinkFault.Mute || ofCalled == LinkFault.Deaf,
            isDownHeld = isCut || ofCaller == LinkFault.Deaf || ofCalled == LinkFault.Mute,
            delayMillis = both.filterIsInstance<LinkFault.Slow>().sumOf { it.millis },
        )
    }

    @Synchronized
    override fun close() {
        forwarders.values.forEach(Forwarder::close)
    }
}
