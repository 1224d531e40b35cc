package marigoldward.bench.fleet

/** A fault of all connections of one process. */
internal sealed interface LinkFault {
    /** Nothing passes in either direction; nothing is closed. */
    data object Cut : LinkFault

    /** Nothing reaches the process, what it sends passes. */
    data object Deaf : LinkFault

    /** Nothing that the process sends passes, but it is reached. */
    data object Mute : LinkFault

    /** Each piece comes [millis] later. */
    data class Slow(val millis: Long) : LinkFault
}
