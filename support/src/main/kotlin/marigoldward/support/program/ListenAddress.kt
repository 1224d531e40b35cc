package marigoldward.support.program

import marigoldward.support.log.EventLog
import marigoldward.support.time.MonotonicClock
import java.net.BindException

/** Binds the addresses that a process listens at. */
public object ListenAddress {
    /** How long to wait for an address; a process that has it ends within this time after it has stopped listening. */
    public const val MAX_WAIT_MILLIS: Long = 5_000
    private const val RETRY_MILLIS = 50L
    private val log = EventLog.fromName("listen")

    /**
     * Returns the result of [bind]. While it fails because its address is in use, calls it again, as the process that
     * is replaced by this one may still be ending. After [maxWaitMillis] the failure is passed on.
     */
    public fun <T> bindWhenFree(maxWaitMillis: Long = MAX_WAIT_MILLIS, bind: () -> T): T {
        val startMillis = MonotonicClock.nowMillis()
        var isLogged = false
        while (true) {
            try {
                val bound = bind()
                if (isLogged) log.info("address_free") { field("waited_ms", MonotonicClock.nowMillis() - startMillis) }
                return bound
            } catch (failure: Exception) {
                val isWaitOver = MonotonicClock.nowMillis() - startMillis >= maxWaitMillis
                if (!isAddressProblem(failure) || isWaitOver) throw failure
                if (!isLogged) {
                    log.warn("address_in_use") {
                        field("reason", failure)
                        field("max_wait_ms", maxWaitMillis)
                    }
                }
                isLogged = true
            }
            Thread.sleep(RETRY_MILLIS)
        }
    }

    private fun isAddressProblem(failure: Throwable): Boolean =
        generateSequence(failure) { it.cause }.any { it is BindException }
}
