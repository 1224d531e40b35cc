package marigoldward.wire.peer

import io.grpc.MethodDescriptor
import marigoldward.wire.rpc.Acknowledgement
import marigoldward.wire.rpc.unaryMethod

/** The gRPC methods between control replicas. */
public object PeerRpc {
    /** The gRPC service name. */
    public const val SERVICE: String = "marigoldward.Peer"

    /** Delivers replication messages. */
    public val DELIVER: MethodDescriptor<PeerEnvelope, Acknowledgement> =
        unaryMethod(SERVICE, "Deliver", PeerEnvelope.serializer(), Acknowledgement.serializer())

    /** Announces that a replica with an empty disk waits to be added as a member. */
    public val JOIN: MethodDescriptor<JoinAnnouncement, JoinReply> =
        unaryMethod(SERVICE, "Join", JoinAnnouncement.serializer(), JoinReply.serializer())
}
