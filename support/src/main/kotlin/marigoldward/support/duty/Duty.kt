package marigoldward.support.duty

import com.lmax.disruptor.BlockingWaitStrategy
import com.lmax.disruptor.EventHandler
import com.lmax.disruptor.dsl.Disruptor
import com.lmax.disruptor.dsl.ProducerType
import java.util.concurrent.ThreadFactory
import java.util.concurrent.TimeUnit

/**
 * A thread that handles the events of one bounded queue, a ring buffer.
 *
 * The handler gets the events in batches, in the order in which they were added. If it throws, the state that it guards
 * may be inconsistent, so the process is halted.
 */
public class Duty<E : Any> private constructor(private val disruptor: Disruptor<Slot<E>>) : AutoCloseable {
    /** Adds [event] to the queue, or returns false at once if the queue is full. */
    public fun offer(event: E): Boolean = disruptor.ringBuffer.tryPublishEvent { slot, _ -> slot.event = event }

    /** Adds [event] to the queue; blocks while it is full. A call on the duty's own thread could block for ever. */
    public fun put(event: E) {
        disruptor.ringBuffer.publishEvent { slot, _ -> slot.event = event }
    }

    /** Handles the events in the queue, for two seconds at most, and ends the thread. */
    override fun close() {
        runCatching { disruptor.shutdown(SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS) }
            .onFailure { disruptor.halt() }
    }

    internal class Slot<E : Any> {
        var event: E? = null
    }

    private class BatchingHandler<E : Any>(private val name: String, private val handler: (List<E>) -> Unit) :
        EventHandler<Slot<E>> {
        private val batch = ArrayList<E>()

        override fun onEvent(slot: Slot<E>, sequence: Long, endOfBatch: Boolean) {
            batch.add(checkNotNull(slot.event) { "slot $sequence in the queue of $name is empty" })
            slot.event = null
            if (!endOfBatch && batch.size < MAX_BATCH_EVENTS) return
            try {
                handler(batch.toList())
            } catch (failure: Throwable) {
                BrokenInvariant.haltProcess(name, failure)
            }
            batch.clear()
        }
    }

    /** Creates duties. */
    public companion object {
        private const val MAX_BATCH_EVENTS = 256
        private const val SHUTDOWN_TIMEOUT_MILLIS = 2_000L

        /**
         * Starts the thread [name] with a queue of [capacity] events.
         *
         * @throws IllegalArgumentException if [capacity] is not a power of two
         */
        public fun <E : Any> start(name: String, capacity: Int, handler: (List<E>) -> Unit): Duty<E> {
            val threads = ThreadFactory { Thread(it, name).apply { isDaemon = true } }
            val disruptor = Disruptor({ Slot<E>() }, capacity, threads, ProducerType.MULTI, BlockingWaitStrategy())
            disruptor.handleEventsWith(BatchingHandler(name, handler))
            disruptor.start()
            return Duty(disruptor)
        }
    }
}
