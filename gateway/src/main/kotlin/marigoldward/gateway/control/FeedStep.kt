package marigoldward.gateway.control

import marigoldward.core.model.InstanceId

/** A change of a gateway's streams of updates. */
internal sealed interface FeedStep {
    val instance: InstanceId

    /** Close the stream of [instance]. */
    data class Close(override val instance: InstanceId) : FeedStep

    /** Use the updates of [instance], whose stream is open, instead of those of the instance followed before. */
    data class Follow(override val instance: InstanceId) : FeedStep

    /** Open a stream of [instance]. */
    data class Open(override val instance: InstanceId) : FeedStep
}
