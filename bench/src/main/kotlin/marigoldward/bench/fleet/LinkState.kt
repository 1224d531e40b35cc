package marigoldward.bench.fleet

/**
 * How a [Forwarder] treats the data of its connections.
 *
 * @property isClientDataHeld whether data from the connecting side is held back
 * @property isServerDataHeld whether data from the accepting side is held back
 * @property delayMillis the delay of each chunk in milliseconds
 */
internal data class LinkState(val isClientDataHeld: Boolean, val isServerDataHeld: Boolean, val delayMillis: Long) {
    companion object {
        /** Data is forwarded without delay. */
        val OPEN = LinkState(isClientDataHeld = false, isServerDataHeld = false, delayMillis = 0)
    }
}
