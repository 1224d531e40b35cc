package marigoldward.bench.fleet

/** A fault of all connections between one process and the others; connections stay open. */
internal sealed interface LinkFault {
    /** Data is held back in both directions. */
    data object Isolated : LinkFault

    /** Data to the process is held back; data from it is forwarded. */
    data object IncomingHeld : LinkFault

    /** Data from the process is held back; data to it is forwarded. */
    data object OutgoingHeld : LinkFault

    /** Each forwarded chunk is delayed by [millis] milliseconds. */
    data class Delayed(val millis: Long) : LinkFault
}
