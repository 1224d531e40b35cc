package marigoldward.bench.fleet

import marigoldward.support.net.FreePorts

/** The loopback ports of every process of a fleet. */
internal class PortAllocation private constructor(private val ports: Map<String, ProcessPorts>) {
    private data class ProcessPorts(val listen: Int, val operator: Int, val caller: Int)

    /** Returns the port at which the process [name] listens for other processes of the system. */
    fun listenPort(name: String): Int = ports.getValue(name).listen

    /** Returns the port of the operators' interface of the process [name]. */
    fun operatorPort(name: String): Int = ports.getValue(name).operator

    /** Returns the port at which the process [name] serves callers; only entries use it. */
    fun callerPort(name: String): Int = ports.getValue(name).caller

    val names: Set<String> get() = ports.keys

    companion object {
        private const val PORTS_PER_PROCESS = 3

        /** Allocates free ports to the processes [names]. */
        fun allocate(names: List<String>): PortAllocation {
            val free = FreePorts.find(names.size * PORTS_PER_PROCESS).chunked(PORTS_PER_PROCESS)
            val ports = names.zip(free).associate { (name, own) -> name to ProcessPorts(own[0], own[1], own[2]) }
            return PortAllocation(ports)
        }
    }
}
