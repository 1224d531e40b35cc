package marigoldward.support.program

import marigoldward.support.log.EventLog
import marigoldward.support.settings.toText
import marigoldward.support.time.MonotonicClock
import java.io.IOException
import java.net.BindException
import java.net.InetSocketAddress
import java.net.ServerSocket

/** Binds the addresses that a process listens at. */
public object ListenAddress {
    /** How long to wait for an address; a process that has it ends within this time after it has stopped listening. */
    public const val MAX_WAIT_MILLIS: Long = 5_000
    private const val RETRY_MILLIS = 50L
    private const val LATER_RETRY_MILLIS = 500L
    private const val LOG_PERIOD_MILLIS = 10_000L

    /** What the system's message for an address in use contains. */
    private const val IN_USE = "in use"
    private val log = EventLog.fromName("listen")

    /**
     * Returns the result of [bind], which binds [address]. While it fails because the address is in use, calls it
     * again, as the process that is replaced by this one may still be ending.
     *
     * @throws BindException when the [wait] is over, with the address and its holder
     * @throws Termination.StartCancelled if the process is asked to terminate during a wait without a limit
     */
    public fun <T> bindWhenFree(
        address: InetSocketAddress,
        wait: ListenWait = ListenWait.Bounded(),
        bind: () -> T,
    ): T {
        val startMillis = MonotonicClock.nowMillis()
        var loggedMillis: Long? = null
        while (true) {
            try {
                val bound = bind()
                if (loggedMillis != null) logFree(address, startMillis)
                return bound
            } catch (failure: Exception) {
                if (!isAddressProblem(failure)) throw failure
                val nowMillis = MonotonicClock.nowMillis()
                val waitedMillis = nowMillis - startMillis
                if (isOver(wait, waitedMillis, address, failure)) throw notBound(address, failure, waitedMillis)
                if (loggedMillis == null || nowMillis - loggedMillis >= LOG_PERIOD_MILLIS) {
                    logWait(address, failure, wait, waitedMillis)
                    loggedMillis = nowMillis
                }
                Thread.sleep(if (waitedMillis < MAX_WAIT_MILLIS) RETRY_MILLIS else LATER_RETRY_MILLIS)
            }
        }
    }

    private fun isOver(wait: ListenWait, waitedMillis: Long, address: InetSocketAddress, failure: Exception): Boolean =
        when (wait) {
            is ListenWait.Bounded -> waitedMillis >= wait.maxMillis
            ListenWait.UntilFree -> {
                Termination.checkNotRequested()
                waitedMillis >= MAX_WAIT_MILLIS && !(isInUse(address, failure) && isOfThisMachine(address))
            }
        }

    /**
     * Whether [failure] is for an address in use, and not for one that the process may not bind. The system may word its
     * message in another language.
     */
    private fun isInUse(address: InetSocketAddress, failure: Exception): Boolean =
        saysInUse(addressProblemOrNull(failure)) || AddressHolder.of(address).isSocket

    private fun saysInUse(failure: BindException?): Boolean = failure?.message.orEmpty().contains(IN_USE)

    /** Whether a socket can be bound to the IP of [address] at any port. */
    private fun isOfThisMachine(address: InetSocketAddress): Boolean = try {
        ServerSocket(0, 1, address.address).close()
        true
    } catch (failure: BindException) {
        // All ports may be in use.
        saysInUse(failure)
    } catch (_: IOException) {
        true
    }

    private fun logWait(address: InetSocketAddress, failure: Exception, wait: ListenWait, waitedMillis: Long) =
        log.warn("address_in_use") {
            field("address", address.toText())
            field("holder", AddressHolder.of(address))
            field("reason", failure)
            field("wait", wait)
            field("waited_ms", waitedMillis)
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
