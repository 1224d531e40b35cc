package marigoldward.entry.upstream

import okhttp3.Call
import okhttp3.EventListener
import java.io.IOException

/**
 * Records whether the client has started to write a call to the connection, and whether that failed.
 *
 * Before the start, no byte of the call can have reached the upstream. After a failure, the client reads what has come of
 * an answer, without an exception at the place where the connection was lost.
 */
internal class TransmissionListener : EventListener() {
    @Volatile
    var hasStarted: Boolean = false
        private set

    @Volatile
    var hasFailed: Boolean = false
        private set

    override fun requestFailed(call: Call, ioe: IOException) {
        hasFailed = true
    }

    override fun requestHeadersStart(call: Call) {
        hasStarted = true
    }
}
