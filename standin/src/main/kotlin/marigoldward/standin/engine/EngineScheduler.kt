package marigoldward.standin.engine

import marigoldward.support.time.MonotonicClock
import java.io.IOException
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * Emulates the timing of an engine that runs requests in a fixed number of slots.
 *
 * One prompt is prefilled at a time, and decode steps take longer with more running requests. Waiting requests are
 * served by priority, then in order of arrival. A crash aborts all waiting and running requests.
 */
internal class EngineScheduler(private val settings: EngineSettings) {
    private val lock = ReentrantLock()
    private val stateChanged = lock.newCondition()
    private var slotQueue = emptyList<QueuedRequest>()
    private var occupiedSlots = 0
    private var prefillQueue = emptyList<QueuedRequest>()
    private var isPrefilling = false
    private var queuedPrefillTokens = 0L
    private var usedKvTokens = 0L

    /** The number of crashes; a request of an earlier epoch has been aborted. */
    private var epoch = 0L

    private var isFrozen = false
    private var slowdownFactor = 1L
    private var prefilledTokens = 0L
    private var decodedTokens = 0L

    private class QueuedRequest(val priority: Int)

    /**
     * A request that holds a slot.
     *
     * @property priority the priority; requests with lower numbers go first
     * @property epoch the engine's epoch when the request was queued; after a crash the engine has a later one
     */
    class RunningRequest(val priority: Int, val epoch: Long, val kvTokens: Long)

    val runningCount: Int get() = lock.withLock { occupiedSlots }
    val waitingCount: Int get() = lock.withLock { slotQueue.size }
    val waitingPrefillTokens: Long get() = lock.withLock { queuedPrefillTokens }
    val kvTokensUsed: Long get() = lock.withLock { usedKvTokens }
    val prefilledTotal: Long get() = lock.withLock { prefilledTokens }
    val decodedTotal: Long get() = lock.withLock { decodedTokens }
    val currentEpoch: Long get() = lock.withLock { epoch }

    /**
     * Waits for a slot and reserves [kvTokens] tokens of KV cache for the request.
     *
     * @throws IOException if the engine crashes first
     */
    fun acquireSlot(priority: Int, kvTokens: Long): RunningRequest = lock.withLock {
        val queued = QueuedRequest(priority)
        val startEpoch = epoch
        slotQueue = insert(slotQueue, queued)
        awaitCondition(startEpoch, onCrash = { slotQueue = slotQueue - queued }) {
            occupiedSlots < settings.slots && slotQueue.first() === queued
        }
        slotQueue = slotQueue - queued
        occupiedSlots++
        usedKvTokens += kvTokens
        stateChanged.signalAll()
        RunningRequest(priority, startEpoch, kvTokens)
    }

    /** Releases the slot of [request]; does nothing if the engine has crashed since it was acquired. */
    fun releaseSlot(request: RunningRequest) {
        lock.withLock {
            if (request.epoch != epoch) return
            occupiedSlots--
            usedKvTokens -= request.kvTokens
            stateChanged.signalAll()
        }
    }

    /**
     * Takes the time to prefill [tokens] prompt tokens, after the prompts queued before it.
     *
     * @throws IOException if the engine crashes
     */
    fun prefill(request: RunningRequest, tokens: Long) {
        lock.withLock {
            val queued = QueuedRequest(request.priority)
            prefillQueue = insert(prefillQueue, queued)
            queuedPrefillTokens += tokens
            val onCrash = {
                prefillQueue = prefillQueue - queued
                queuedPrefillTokens -= tokens
            }
            awaitCondition(request.epoch, onCrash) { !isPrefilling && prefillQueue.first() === queued }
            prefillQueue = prefillQueue - queued
            isPrefilling = true
        }
        try {
            awaitDuration(request, tokens * MILLIS_PER_SECOND / settings.prefillTokensPerSecond)
        } finally {
            lock.withLock {
                if (request.epoch == epoch) {
                    isPrefilling = false
                    queuedPrefillTokens -= tokens
                    prefilledTokens += tokens
                }
                stateChanged.signalAll()
            }
        }
    }

    /**
     * Takes the time of one decode step.
     *
     * @throws IOException if the engine crashes
     */
    fun decode(request: RunningRequest) {
        val stepMillis =
            lock.withLock {
                decodedTokens++
                val slowdown = if (isPrefilling) DECODE_SLOWDOWN_DURING_PREFILL else 1
                slowdown *
                    maxOf(MIN_DECODE_STEP_MILLIS, occupiedSlots * MILLIS_PER_SECOND / settings.decodeTokensPerSecond)
            }
        awaitDuration(request, stepMillis)
    }

    /** Aborts all waiting and running requests. */
    fun crash() {
        lock.withLock {
            epoch++
            occupiedSlots = 0
            usedKvTokens = 0
            isPrefilling = false
            queuedPrefillTokens = 0
            slotQueue = emptyList()
            prefillQueue = emptyList()
            stateChanged.signalAll()
        }
    }

    /** Suspends or resumes all work. Time during which the engine is frozen does not count for its requests. */
    fun setFrozen(frozen: Boolean) {
        lock.withLock {
            isFrozen = frozen
            stateChanged.signalAll()
        }
    }

    /** Makes prefills and decode steps that start from now on take [factor] times as long. */
    fun setSlowdownFactor(factor: Long) {
        lock.withLock { slowdownFactor = factor }
    }

    /** Waits while the engine is frozen. */
    fun awaitNotFrozen() {
        lock.withLock { while (isFrozen) stateChanged.await() }
    }

    /** Whether no request is running or waiting. */
    fun isIdle(): Boolean = lock.withLock { occupiedSlots == 0 && slotQueue.isEmpty() }

    /** Waits [millis] milliseconds times the slowdown factor, without the time during which the engine is frozen. */
    private fun awaitDuration(request: RunningRequest, millis: Long) {
        lock.withLock {
            var endMillis = MonotonicClock.nowMillis() + millis * slowdownFactor
            while (true) {
                if (request.epoch != epoch) throw IOException("engine ${settings.id} crashed")
                val beforeMillis = MonotonicClock.nowMillis()
                val remainingMillis = endMillis - beforeMillis
                if (!isFrozen && remainingMillis <= 0) return
                stateChanged.await(if (isFrozen) FROZEN_POLL_MILLIS else remainingMillis, TimeUnit.MILLISECONDS)
                if (isFrozen) endMillis += MonotonicClock.nowMillis() - beforeMillis
            }
        }
    }

    /** Waits for [condition], with the lock held; calls [onCrash] and throws if the engine crashes first. */
    private fun awaitCondition(startEpoch: Long, onCrash: () -> Unit, condition: () -> Boolean) {
        while (isFrozen || !condition()) {
            stateChanged.await()
            if (epoch != startEpoch) {
                onCrash()
                throw IOException("engine ${settings.id} crashed")
            }
        }
    }

    /** Returns [queue] with [queued] inserted after all requests with the same or a lower priority number. */
    private fun insert(queue: List<QueuedRequest>, queued: QueuedRequest): List<QueuedRequest> {
        val position = queue.indexOfFirst { it.priority > queued.priority }
        if (position < 0) return queue + queued
        return queue.subList(0, position) + queued + queue.subList(position, queue.size)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L
        const val MIN_DECODE_STEP_MILLIS = 8L
        const val DECODE_SLOWDOWN_DURING_PREFILL = 2L
        const val FROZEN_POLL_MILLIS = 50L
    }
}
