package marigoldward.wire.feed

import io.grpc.MethodDescriptor
import marigoldward.wire.rpc.unaryMethod

/** The gRPC method by which entries report to the control instance that leads. */
public object ExchangeRpc {
    /** The gRPC service name. */
    public const val SERVICE: String = "marigoldward.Exchange"

    /**
     * Reports counts of an entry to the leader, and returns which route configuration is the newest. Any control instance
     * accepts it; one that does not lead passes it on to the leader.
     */
    public val EXCHANGE: MethodDescriptor<EntryExchangeRequest, EntryExchangeReply> =
        unaryMethod(SERVICE, "Exchange", EntryExchangeRequest.serializer(), EntryExchangeReply.serializer())
}
