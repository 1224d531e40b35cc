package marigoldward.wire.entry

import io.grpc.MethodDescriptor
import marigoldward.wire.rpc.unaryMethod

/** The gRPC methods of an entry for other processes of the cluster. */
public object EntryRpc {
    /** The gRPC service name. */
    public const val SERVICE: String = "marigoldward.Entry"

    /** Exchanges revisions and quarantined fingerprints between two entries. */
    public val EXCHANGE: MethodDescriptor<PeerExchange, PeerExchange> =
        unaryMethod(SERVICE, "Exchange", PeerExchange.serializer(), PeerExchange.serializer())

    /** Reads the demand of the callers, for role planning. */
    public val DEMAND: MethodDescriptor<DemandRequest, DemandReply> =
        unaryMethod(SERVICE, "Demand", DemandRequest.serializer(), DemandReply.serializer())
}
