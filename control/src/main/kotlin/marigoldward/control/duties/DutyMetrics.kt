package marigoldward.control.duties

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import marigoldward.core.model.FencingToken
import marigoldward.support.log.EventLog

/** The metrics of the duties at the platform's provider. */
internal object DutyMetrics {
    private val log = EventLog.fromName("duties")
    private val token: Gauge =
        Gauge
            .builder()
            .name("marigoldward_duty_token")
            .help("The fencing token with which this instance holds a duty; absent if it does not")
            .labelNames("duty", "holder")
            .register()
    private val due: Gauge =
        Gauge.builder().name("marigoldward_duty_due").help("Calls of a duty that are due").labelNames("duty").register()
    private val lastWindow: Gauge =
        Gauge
            .builder()
            .name("marigoldward_usage_reported_window")
            .help("The last usage window whose report this instance had accepted")
            .register()
    private val calls: Counter =
        Counter
            .builder()
            .name("marigoldward_duty_calls_total")
            .help("Calls to the platform's provider, by duty and result")
            .labelNames("duty", "result")
            .register()

    fun recordHolder(duty: ProviderDuty, holder: String, current: FencingToken) {
        token.labelValues(label(duty), holder).set(current.number.toDouble())
        log.info("duty_held") {
            field("duty", label(duty))
            field("holder", holder)
            field("token", current)
        }
    }

    /** Records that this instance no longer holds [duty], so that only the present holder shows a token. */
    fun recordNotHolder(duty: ProviderDuty, holder: String) {
        token.remove(label(duty), holder)
        due.labelValues(label(duty)).set(0.0)
        log.info("duty_not_held") {
            field("duty", label(duty))
            field("holder", holder)
        }
    }

    fun recordDue(duty: ProviderDuty, count: Int) = due.labelValues(label(duty)).set(count.toDouble())

    fun recordWindow(window: Long) = lastWindow.set(window.toDouble())

    fun recordCall(duty: ProviderDuty, result: ProviderCalls.CallResult) {
        val name = when (result) {
            ProviderCalls.CallResult.Accepted -> "accepted"
            ProviderCalls.CallResult.Conflict -> "conflict"
            is ProviderCalls.CallResult.TryLater -> "try_later"
            is ProviderCalls.CallResult.Refused -> "refused"
            is ProviderCalls.CallResult.NotSent -> "not_sent"
            is ProviderCalls.CallResult.Unknown -> "unknown"
        }
        calls.labelValues(label(duty), name).inc()
    }

    private fun label(duty: ProviderDuty): String = duty.name.lowercase()
}
