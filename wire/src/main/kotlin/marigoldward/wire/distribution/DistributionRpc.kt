package marigoldward.wire.distribution

import io.grpc.MethodDescriptor
import marigoldward.wire.rpc.Acknowledgement
import marigoldward.wire.rpc.serverStreamingMethod
import marigoldward.wire.rpc.unaryMethod

/** The gRPC methods of leased subscriptions. Both control instances and entries serve them. */
public object DistributionRpc {
    /** The gRPC service name. */
    public const val SERVICE: String = "marigoldward.Distribution"

    /** Opens a subscription and streams updates, starting with the newest one. */
    public val SUBSCRIBE: MethodDescriptor<SubscribeRequest, DistributionUpdate> =
        serverStreamingMethod(SERVICE, "Subscribe", SubscribeRequest.serializer(), DistributionUpdate.serializer())

    /** Renews the lease of a subscription. */
    public val REPORT: MethodDescriptor<SubscriberReport, Acknowledgement> =
        unaryMethod(SERVICE, "Report", SubscriberReport.serializer(), Acknowledgement.serializer())
}
