package marigoldward.bench.load

import marigoldward.bench.client.CallerClient
import marigoldward.bench.client.CompletionRequest
import marigoldward.bench.client.CompletionResult
import marigoldward.support.time.MonotonicClock
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** Sends the requests of a [LoadSpec] and collects their results. */
public class LoadRun private constructor(private val spec: LoadSpec, private val balancer: Balancer) {
    private val client = CallerClient.create()
    private val workers = Executors.newCachedThreadPool { Thread(it, "load").apply { isDaemon = true } }
    private val finishedResults = ConcurrentLinkedQueue<TimedResult>()
    private val startMillis = MonotonicClock.nowMillis()
    private val sender = Thread(::sendAll, "load-pacer").apply { isDaemon = true }

    /**
     * The result of one request.
     *
     * @property dueMillis when the request was due, in milliseconds since the start of the load
     * @property entry the address of the entry that it was sent to
     */
    public data class TimedResult(val dueMillis: Long, val entry: String, val result: CompletionResult)

    /**
     * Waits up to [timeoutMillis] milliseconds for the end of the load and closes the client.
     *
     * Returns whether the load has ended.
     */
    public fun await(timeoutMillis: Long): Boolean {
        val endMillis = MonotonicClock.nowMillis() + timeoutMillis
        sender.join(timeoutMillis)
        workers.shutdown()
        val hasEnded = workers.awaitTermination(maxOf(1, endMillis - MonotonicClock.nowMillis()), TimeUnit.MILLISECONDS)
        client.close()
        return hasEnded
    }

    /** The results of the requests that have ended. */
    public val results: List<TimedResult> get() = finishedResults.toList()

    private fun sendAll() {
        val random = Random(spec.seed)
        var dueMillis = 0.0
        repeat(spec.requests) { number ->
            dueMillis += -Math.log(1 - random.nextDouble()) * MILLIS_PER_SECOND / spec.requestsPerSecond
            val request = createRequest(random, number)
            val waitMillis = startMillis + dueMillis.toLong() - MonotonicClock.nowMillis()
            if (waitMillis > 0) Thread.sleep(waitMillis)
            val due = dueMillis.toLong()
            val entry = balancer.addressFor(number)
            workers.execute { finishedResults.add(TimedResult(due, entry, client.complete(entry, request))) }
        }
    }

    private fun createRequest(random: Random, number: Int): CompletionRequest {
        val promptNumber = if (spec.isRepeated) 0 else number
        val randomLength =
            random.nextInt(spec.promptCharacters / SHORTEST_PROMPT_DIVISOR, spec.promptCharacters + 1)
        val length = if (spec.isRepeated) spec.promptCharacters else randomLength
        val isShared = random.nextInt(HUNDRED) < spec.sharedPrefixPercent
        val topic =
            if (isShared) "catalogue ${random.nextInt(SHARED_PREFIXES)}" else "request ${spec.seed}-$promptNumber"
        val filler = "$topic ".repeat(length / (topic.length + 1) + 1).take(length)
        val prompt = "$filler end ${spec.className} ${spec.seed}-$promptNumber ${spec.marker}"
        return CompletionRequest(spec.model, prompt, spec.maxTokens, spec.className, spec.caller)
    }

    /** Starts loads. */
    public companion object {
        private const val MILLIS_PER_SECOND = 1_000.0
        private const val SHORTEST_PROMPT_DIVISOR = 4
        private const val HUNDRED = 100
        private const val SHARED_PREFIXES = 4

        /** Starts the load [spec] through the entries that [balancer] selects. */
        public fun start(spec: LoadSpec, balancer: Balancer): LoadRun = LoadRun(spec, balancer).apply { sender.start() }
    }
}
