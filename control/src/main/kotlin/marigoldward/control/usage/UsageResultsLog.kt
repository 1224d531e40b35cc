package marigoldward.control.usage

import marigoldward.control.duties.ProviderCalls
import marigoldward.core.model.FencingToken
import marigoldward.support.log.EventLog

/**
 * Logs the results of the calls that report usage: each that is final, and of those that are repeated the first of its
 * kind and one in some seconds, with the number of those left out.
 */
internal class UsageResultsLog {
    private var lastKind: Class<*>? = null
    private var lastLineMillis = 0L
    private var leftOut = 0

    /** Logs the [result], received at [nowMillis], of a call for [window] that took [tookMillis], if it is due. */
    fun record(
        window: Long,
        token: FencingToken,
        result: ProviderCalls.CallResult,
        tookMillis: Long,
        nowMillis: Long,
    ) {
        val isFinal = result == ProviderCalls.CallResult.Accepted || result is ProviderCalls.CallResult.Refused
        val isRepeated = result.javaClass == lastKind && nowMillis - lastLineMillis < INTERVAL_MILLIS
        if (!isFinal && isRepeated) {
            leftOut++
            return
        }
        log.info("usage_reported") {
            field("window", window)
            field("token", token)
            field("result", result)
            field("took_ms", tookMillis)
            field("left_out", leftOut)
        }
        lastKind = result.javaClass
        lastLineMillis = nowMillis
        leftOut = 0
    }

    private companion object {
        const val INTERVAL_MILLIS = 10_000L
        val log = EventLog.fromName("usage")
    }
}
