package marigoldward.wire.rpc

import io.grpc.Status
import java.net.ConnectException

/** Why a call got no response. It may have been executed unless [isKnownNotExecuted]. */
public data class RpcFailure(val code: String, val message: String, val isKnownNotExecuted: Boolean) {
    override fun toString(): String = "$code: $message"

    public companion object {
        private val NOT_EXECUTED_CODES = setOf(Status.Code.PERMISSION_DENIED, Status.Code.UNIMPLEMENTED)

        internal fun fromStatus(status: Status): RpcFailure {
            val isConnectFailure = generateSequence(status.cause) { it.cause }.any { it is ConnectException }
            val message = status.description ?: status.cause?.message.orEmpty()
            return RpcFailure(status.code.name, message, status.code in NOT_EXECUTED_CODES || isConnectFailure)
        }
    }
}
