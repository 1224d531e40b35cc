package marigoldward.core.serving

import marigoldward.core.config.SiteConfiguration
import marigoldward.core.control.Fingerprint
import marigoldward.core.model.InstanceId
import marigoldward.core.model.RequestId
import marigoldward.core.model.UpstreamId

/** An input of [Serving.step]. */
public sealed interface ServingEvent {
    /** A request arrived. */
    public data class RequestArrived(val spec: RequestSpec) : ServingEvent

    /** The prefill of an attempt is complete: its first token arrived, or its KV cache is ready. */
    public data class AttemptPrefilled(val id: RequestId, val attempt: Int) : ServingEvent

    /** An attempt ended with [result]. */
    public data class AttemptFinished(val id: RequestId, val attempt: Int, val result: AttemptResult) : ServingEvent

    /** The caller disconnected; its request is removed if it still waits. */
    public data class CallerGone(val id: RequestId) : ServingEvent

    /** An upstream reported its load. */
    public data class LoadReported(val upstream: UpstreamId, val report: LoadReport) : ServingEvent

    /** An upstream did not answer a request for its load. */
    public data class LoadReportMissed(val upstream: UpstreamId) : ServingEvent

    /** An upstream stored or evicted the prompt pieces with these hashes. */
    public data class CacheChanged(val upstream: UpstreamId, val stored: List<Long>, val evicted: List<Long>) :
        ServingEvent

    /** The platform's list of upstreams was read. */
    public data class UpstreamsListed(val upstreams: List<UpstreamInfo>) : ServingEvent

    /** The configuration changed. */
    public data class ConfigurationChanged(val configuration: SiteConfiguration) : ServingEvent

    /** The set of quarantined fingerprints, or of engines that get no requests, changed. */
    public data class RestrictionsChanged(val quarantine: Set<Fingerprint>, val setAside: Set<UpstreamId>) :
        ServingEvent

    /** The live entry processes changed; [entries] includes this process. */
    public data class EntriesChanged(val entries: List<InstanceId>) : ServingEvent

    /** The process is shutting down: new requests are refused. */
    public data object ShutDown : ServingEvent

    /** Time has passed. It is sent at regular intervals, so that requests expire and retries are sent in time. */
    public data object Tick : ServingEvent
}
