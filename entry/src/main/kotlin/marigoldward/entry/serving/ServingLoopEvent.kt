package marigoldward.entry.serving

import marigoldward.core.config.SiteConfiguration
import marigoldward.core.model.RequestId
import marigoldward.core.serving.RequestSpec
import marigoldward.core.serving.ServingEvent
import marigoldward.core.serving.UpstreamInfo

/** An input of the [ServingLoop]. */
internal sealed interface ServingLoopEvent {
    /** A request arrived; the decisions about it go to [channel]. */
    data class RequestOpened(val spec: RequestSpec, val channel: RequestChannel) : ServingLoopEvent

    /** The thread that serves a request has finished: no more decisions about it are needed. */
    data class RequestClosed(val id: RequestId) : ServingLoopEvent

    /** An event that goes to [marigoldward.core.serving.Serving.step] as it is. */
    data class Step(val event: ServingEvent) : ServingLoopEvent

    /** The first configuration was read, or a newer one. */
    data class ConfigurationChanged(val configuration: SiteConfiguration) : ServingLoopEvent

    /** The platform's list of upstreams was read. */
    data class UpstreamsListed(val upstreams: List<UpstreamInfo>) : ServingLoopEvent
}
