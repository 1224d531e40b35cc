package marigoldward.core.workspaces

import marigoldward.core.time.ClockReading
import kotlin.random.Random

/**
 * One gateway, its clocks and the leaders that it asks, in a schedule that is drawn from [seed]: lost, late and reordered
 * messages, partitions, machines that are suspended, times of day that jump, and leaders that are replaced without knowing.
 *
 * The time of day does not jump while the machine is suspended or within a check interval after it: neither clock would
 * show a suspension and a jump that cancel each other.
 *
 * @param fault a fault that is planted in the gateway, or null
 */
internal class RevocationSchedule(private val seed: Long, private val fault: Fault?) {
    enum class Fault { AGE_FROM_REPLY, MONOTONIC_CLOCK_ONLY, LEADER_NOT_CONFIRMED, VERSION_NOT_COMPARED }

    /** How many requests were accepted, refused, and accepted though sent after the bound. */
    data class Result(val seed: Long, val accepted: Int, val refused: Int, val late: Int)

    private class Question(val askedAt: ClockReading, val arrives: Long, val replyDelay: Long)

    private class Reply(val askedAt: ClockReading, val arrives: Long, val version: Long, val isConfirmed: Boolean)

    private val random = Random(seed)
    private var now = 0L
    private var suspendedMillis = 0L
    private var epochOffset = random.nextLong(-5_000, 5_000)
    private var frozenUntil = 0L
    private var lastFreezeMillis = 0L

    /** Whether the machine is suspended, not only the process stopped, whose monotonic clock goes on. */
    private var isSuspension = true
    private var cutUntil = 0L

    /** The version that each instance believes to be the newest; only the leader's is. */
    private val known = LongArray(INSTANCES) { 1 }
    private var leader = 0

    /** When each version was acknowledged. */
    private val acknowledged = ArrayList(listOf(1L to 0L))
    private var versionInForce = 1L
    private val deliveries = ArrayList<Pair<Long, Long>>()
    private val questions = ArrayList<Question>()
    private val replies = ArrayList<Reply>()
    private val waitingSince = ArrayList<Long>()
    private var nextQuestion = 0L
    private var state = ConfigurationFreshness.unconfirmed(REVOCATION_MILLIS)
    private var accepted = 0
    private var refused = 0
    private var late = 0

    fun run(): Result {
        while (now < DURATION_MILLIS) {
            drawFaults()
            changeConfiguration()
            answerQuestions()
            if (random.nextInt(4) == 0) waitingSince.add(now)
            if (now >= frozenUntil) {
                runGateway()
            } else if (isSuspension) {
                suspendedMillis += STEP_MILLIS
            }
            now += STEP_MILLIS
        }
        return Result(seed, accepted, refused, late)
    }

    private fun clocks(): ClockReading {
        val monotonic = now - suspendedMillis
        val epoch = now + epochOffset
        return ClockReading(monotonic, if (fault == Fault.MONOTONIC_CLOCK_ONLY) monotonic else epoch)
    }

    private fun drawFaults() {
        val isAwake = now >= frozenUntil
        if (isAwake && now > frozenUntil + 500 && random.nextInt(400) == 0) {
            lastFreezeMillis = random.nextLong(20, 8_000) / STEP_MILLIS * STEP_MILLIS
            frozenUntil = now + lastFreezeMillis
            isSuspension = random.nextInt(4) > 0
        }
        if (isAwake && now > frozenUntil + 200 && random.nextInt(300) == 0) {
            // A time of day that is set back by the length of a freeze must not hide it.
            epochOffset += if (random.nextBoolean()) -lastFreezeMillis else random.nextLong(-10_000, 10_000)
        }
        if (random.nextInt(500) == 0) cutUntil = now + random.nextLong(100, 8_000)
        if (random.nextInt(500) == 0) {
            val next = random.nextInt(INSTANCES)
            known[next] = known[leader]
            leader = next
        }
    }

    private fun changeConfiguration() {
        if (random.nextInt(300) != 0) return
        known[leader]++
        acknowledged.add(known[leader] to now)
        // Before the acknowledgement at the earliest, and possibly much later.
        deliveries.add(known[leader] to maxOf(now, cutUntil) + random.nextLong(0, 8_000))
    }

    private fun answerQuestions() {
        val arrived = questions.filter { it.arrives <= now }
        questions.removeAll(arrived)
        if (now < cutUntil) return
        arrived.forEach { question ->
            // An instance that was replaced as the leader may not know it, but no majority confirms it.
            val instance = if (random.nextInt(3) == 0) random.nextInt(INSTANCES) else leader
            val arrives = now + question.replyDelay
            replies.add(Reply(question.askedAt, arrives, known[instance], isConfirmed = instance == leader))
        }
    }

    private fun runGateway() {
        deliveries.filter { it.second <= now }.forEach { versionInForce = maxOf(versionInForce, it.first) }
        val arrived = replies.filter { it.arrives <= now }.shuffled(random)
        replies.removeAll(arrived)
        // Requests that came while the machine was suspended may be read before or after the replies.
        val isServedFirst = random.nextBoolean()
        if (isServedFirst) serveRequests()
        arrived.forEach(::receive)
        if (!isServedFirst) serveRequests()
        if (now % CHECK_MILLIS == 0L) state = state.at(clocks())
        if (now >= nextQuestion) {
            nextQuestion = now + random.nextLong(300, 1_200)
            if (random.nextInt(5) == 0) return
            questions.add(Question(clocks(), now + delay(), delay()))
        }
    }

    private fun receive(reply: Reply) {
        if (!reply.isConfirmed && fault != Fault.LEADER_NOT_CONFIRMED) return
        val askedAt = if (fault == Fault.AGE_FROM_REPLY) clocks() else reply.askedAt
        val version = if (fault == Fault.VERSION_NOT_COMPARED) 0 else reply.version
        state = state.withReply(version, askedAt, clocks())
    }

    private fun serveRequests() {
        state = state.at(clocks())
        waitingSince.forEach { sentAt ->
            val isAccepted = state.isConfirmed(versionInForce, clocks())
            val isOutdated = acknowledged.any { (version, at) ->
                version > versionInForce && sentAt > at + REVOCATION_MILLIS
            }
            if (isAccepted) accepted++ else refused++
            if (isAccepted && isOutdated) late++
        }
        waitingSince.clear()
    }

    private fun delay(): Long = if (random.nextInt(4) == 0) random.nextLong(0, 4_000) else random.nextLong(0, 100)

    private companion object {
        const val REVOCATION_MILLIS = 5_000L
        const val DURATION_MILLIS = 60_000L
        const val STEP_MILLIS = 10L
        const val CHECK_MILLIS = 100L
        const val INSTANCES = 3
    }
}
