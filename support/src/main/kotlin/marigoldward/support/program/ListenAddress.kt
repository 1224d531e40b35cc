package marigoldward.support.program

import marigoldward.support.log.EventLog
import marigoldward.support.time.MonotonicClock
import java.net.BindException

/** Binds the addresses that a process listens at. */
public object ListenAddress {
    /** How long to wait for an address; a process that has it ends within this time after it has stopped listening. */
    private const val MAX_WAIT_MILLIS = 5_000L
    private const val RETRY_MILLIS = 50L
    private val log = EventLog.fromName("listen")

    /**
     * Returns the result of [bind]. While it fails because its address is in use, calls it again, as the process that
     * is replaced by this one may still be ending. After some seconds the failure is passed on.
     */
    public fun <T> bindWhenFree(bind: () -> T): T {
        val endMillis = MonotonicClock.nowMillis() + MAX_WAIT_MILLIS
        var isLogged = false
        while (true) {
            try {
                return bind()
            } catch (failure: Exception) {
                if (!isAddressProblem(failure) || MonotonicClock.nowMillis() >= endMillis) throw failure
                if (!isLogged) log.warn("address_in_use") { field("reason", failure) }
                isLogged = true
            }
            Thread.sleep(RETRY_MILLIS)
        }
    }

    private fun isAddressProblem(failure: Throwable): Boolean =
        generateSequence(failure) { it.cause }.any { it is BindException }
}
