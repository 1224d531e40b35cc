package marigoldward.wire.rpc

/** Size limits and time-outs of calls between processes. */
public object RpcLimits {
    /** The maximum size of a message. */
    public const val MAX_MESSAGE_BYTES: Int = 67_108_864

    /** The time-out of a call that needs no quorum. */
    public const val SHORT_CALL_TIMEOUT_MILLIS: Long = 1_000

    /** The time-out of one attempt of a call that needs a quorum. */
    public const val ATTEMPT_TIMEOUT_MILLIS: Long = 1_500

    /** The time-out of a call that needs a quorum, over all its attempts. */
    public const val QUORUM_CALL_TIMEOUT_MILLIS: Long = 4_000
}
