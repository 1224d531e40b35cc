package marigoldward.bench.fleet

/**
 * What happens to the bytes of one forwarder.
 *
 * @property isUpHeld whether what the caller sends is held back
 * @property isDownHeld whether what the called one sends is held back
 * @property delayMillis by how long each piece is delayed, in milliseconds
 */
internal data class LinkState(val isUpHeld: Boolean, val isDownHeld: Boolean, val delayMillis: Long) {
    companion object {
        /** Bytes pass as they come. */
        val OPEN = LinkState(isUpHeld = false, isDownHeld = false, delayMillis = 0)
    }
}
