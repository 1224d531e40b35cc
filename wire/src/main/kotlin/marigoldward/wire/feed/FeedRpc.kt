package marigoldward.wire.feed

import io.grpc.MethodDescriptor
import marigoldward.wire.rpc.serverStreamingMethod
import marigoldward.wire.rpc.unaryMethod

/** The gRPC methods by which entries follow the replicated state and the directory of upstreams. */
public object FeedRpc {
    /** The gRPC service name. */
    public const val SERVICE: String = "marigoldward.Feed"

    /** Streams changes as they happen, and heartbeats in between. */
    public val WATCH: MethodDescriptor<WatchRequest, FeedUpdate> =
        serverStreamingMethod(SERVICE, "Watch", WatchRequest.serializer(), FeedUpdate.serializer())

    /** Reports crashes of upstreams. Only the leader accepts reports. */
    public val REPORT_CRASHES: MethodDescriptor<CrashReport, CrashReportReply> =
        unaryMethod(SERVICE, "ReportCrashes", CrashReport.serializer(), CrashReportReply.serializer())
}
