package marigoldward.wire.feed

import io.grpc.MethodDescriptor
import marigoldward.wire.rpc.serverStreaming

/** The calls by which entries follow the replicated state and the directory of upstreams. */
public object FeedRpc {
    /** The name of the service. */
    public const val SERVICE: String = "marigoldward.Feed"

    /** Streams what changes, and a heartbeat where nothing does. */
    public val WATCH: MethodDescriptor<WatchRequest, FeedUpdate> =
        serverStreaming(SERVICE, "Watch", WatchRequest.serializer(), FeedUpdate.serializer())
}
