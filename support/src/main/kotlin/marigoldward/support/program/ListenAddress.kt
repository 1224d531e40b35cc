package marigoldward.support.program

import marigoldward.support.log.EventLog
import marigoldward.support.settings.toText
import marigoldward.support.time.MonotonicClock
import java.net.BindException
import java.net.InetSocketAddress

/** Binds the addresses that a process listens at. */
public object ListenAddress {
    /** How long to wait for an address; a process that has it ends within this time after it has stopped listening. */
    public const val MAX_WAIT_MILLIS: Long = 5_000
    private const val RETRY_MILLIS = 50L
    private val log = EventLog.fromName("listen")

    /**
     * Returns the result of [bind], which binds [address]. While it fails because the address is in use, calls it
     * again, as the process that is replaced by this one may still be ending.
     *
     * @throws BindException after [maxWaitMillis], with the address and its holder
     */
    public fun <T> bindWhenFree(
        address: InetSocketAddress,
        maxWaitMillis: Long = MAX_WAIT_MILLIS,
        bind: () -> T,
    ): T {
        val startMillis = MonotonicClock.nowMillis()
        var isLogged = false
        while (true) {
            try {
                val bound = bind()
                if (isLogged) logFree(address, startMillis)
                return bound
            } catch (failure: Exception) {
                if (!isAddressProblem(failure)) throw failure
                val waitedMillis = MonotonicClock.nowMillis() - startMillis
                if (waitedMillis >= maxWaitMillis) throw notBound(address, failure, waitedMillis)
                if (!isLogged) logWait(address, failure, maxWaitMillis)
                isLogged = true
            }
            Thread.sleep(RETRY_MILLIS)
        }
    }

    private fun logWait(address: InetSocketAddress, failure: Exception, maxWaitMillis: Long) =
        log.warn("address_in_use") {
            field("address", address.toText())
            field("holder", AddressHolder.of(address))
            field("reason", failure)
            field("max_wait_ms", maxWaitMillis)
        }

    private fun logFree(address: InetSocketAddress, startMillis: Long) = log.info("address_free") {
        field("address", address.toText())
        field("waited_ms", MonotonicClock.nowMillis() - startMillis)
    }

    private fun notBound(address: InetSocketAddress, failure: Exception, waitedMillis: Long): BindException {
        val reason = addressProblemOrNull(failure)?.message
        val holder = AddressHolder.of(address)
        return BindException("${address.toText()} can't be bound after $waitedMillis ms: $reason, holder $holder")
            .apply { addSuppressed(failure) }
    }

    private fun isAddressProblem(failure: Throwable): Boolean = addressProblemOrNull(failure) != null

    private fun addressProblemOrNull(failure: Throwable): BindException? =
        generateSequence(failure) { it.cause }.filterIsInstance<BindException>().firstOrNull()
}
