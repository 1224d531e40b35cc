package marigoldward.wire.feed

import io.grpc.MethodDescriptor
import marigoldward.wire.rpc.serverStreamingMethod

/** The gRPC methods by which entries follow the replicated state and the directory of upstreams. */
public object FeedRpc {
    /** The gRPC service name. */
    public const val SERVICE: String = "marigoldward.Feed"

    /** Streams changes as they happen, and heartbeats in between. */
    public val WATCH: MethodDescriptor<WatchRequest, FeedUpdate> =
        serverStreamingMethod(SERVICE, "Watch", WatchRequest.serializer(), FeedUpdate.serializer())
}
