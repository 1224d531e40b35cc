package marigoldward.entry.caller

import marigoldward.core.model.InstanceId
import marigoldward.core.model.RequestId
import java.security.SecureRandom
import java.util.concurrent.atomic.AtomicLong

/**
 * Generates request ids.
 *
 * An id consists of the name of this instance, a random number for this run of the process, and a counter, so that no
 * other process and no other run generates it.
 */
internal class RequestIdGenerator(private val self: InstanceId) {
    private val runId = SecureRandom().nextInt(Int.MAX_VALUE).toString(RADIX)
    private val counter = AtomicLong(1)

    fun next(): RequestId {
        val id = "${self.text.take(MAX_NAME_CHARACTERS)}-$runId-${counter.getAndIncrement().toString(RADIX)}"
        return RequestId.parse(id)
    }

    private companion object {
        const val RADIX = 36
        const val MAX_NAME_CHARACTERS = 40
    }
}
