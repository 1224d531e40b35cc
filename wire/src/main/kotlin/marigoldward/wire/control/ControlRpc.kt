package marigoldward.wire.control

import io.grpc.MethodDescriptor
import marigoldward.wire.rpc.unaryMethod

/** The gRPC methods of a control instance for operators, controllers and entries. */
public object ControlRpc {
    /** The gRPC service name. */
    public const val SERVICE: String = "marigoldward.Control"

    /** Commits a command to the replicated log and applies it. */
    public val SUBMIT: MethodDescriptor<SubmitRequest, SubmitReply> =
        unaryMethod(SERVICE, "Submit", SubmitRequest.serializer(), SubmitReply.serializer())

    /** Grants or renews a lease. */
    public val LEASE: MethodDescriptor<LeaseRequest, LeaseReply> =
        unaryMethod(SERVICE, "Lease", LeaseRequest.serializer(), LeaseReply.serializer())

    /** Reads the records of all engines. They are never stale. */
    public val ENGINES: MethodDescriptor<EnginesRequest, EnginesReply> =
        unaryMethod(SERVICE, "Engines", EnginesRequest.serializer(), EnginesReply.serializer())

    /** Reads the status of one instance. It may lag behind the leader. */
    public val STATUS: MethodDescriptor<StatusRequest, StatusReply> =
        unaryMethod(SERVICE, "Status", StatusRequest.serializer(), StatusReply.serializer())

    /** Replaces a replica whose disk was lost. */
    public val REPLACE: MethodDescriptor<ReplaceReplicaRequest, SubmitReply> =
        unaryMethod(SERVICE, "Replace", ReplaceReplicaRequest.serializer(), SubmitReply.serializer())
}
