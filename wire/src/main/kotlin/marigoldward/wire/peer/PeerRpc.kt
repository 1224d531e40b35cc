package marigoldward.wire.peer

import io.grpc.MethodDescriptor
import marigoldward.wire.rpc.Acknowledgement
import marigoldward.wire.rpc.unary

/** The calls between control replicas. */
public object PeerRpc {
    /** The name of the service. */
    public const val SERVICE: String = "marigoldward.Peer"

    /** Delivers replication messages. */
    public val DELIVER: MethodDescriptor<PeerEnvelope, Acknowledgement> =
        unary(SERVICE, "Deliver", PeerEnvelope.serializer(), Acknowledgement.serializer())

    /** Announces a replica with an empty disk. */
    public val JOIN: MethodDescriptor<JoinAnnouncement, JoinReply> =
        unary(SERVICE, "Join", JoinAnnouncement.serializer(), JoinReply.serializer())
}
