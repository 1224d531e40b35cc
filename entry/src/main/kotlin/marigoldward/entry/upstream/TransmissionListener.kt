package marigoldward.entry.upstream

import okhttp3.Call
import okhttp3.EventListener

/**
 * Records whether the client has started to write a call to the connection.
 *
 * Before that, no byte of the call can have reached the upstream.
 */
internal class TransmissionListener : EventListener() {
    @Volatile
    var hasStarted: Boolean = false
        private set

    override fun requestHeadersStart(call: Call) {
        hasStarted = true
    }
}
