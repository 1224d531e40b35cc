package marigoldward.wire.rpc

import io.grpc.InsecureServerCredentials
import io.grpc.Server
import io.grpc.ServerServiceDefinition
import io.grpc.okhttp.OkHttpServerBuilder
import marigoldward.support.program.ListenAddress
import marigoldward.support.program.ListenWait
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

/** A gRPC server for calls between processes of one cluster. */
public class RpcServer private constructor(private val server: Server) : AutoCloseable {
    /** The port on which the server listens. */
    public val port: Int get() = server.port

    override fun close() {
        server.shutdown()
        if (!server.awaitTermination(SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) server.shutdownNow()
    }

    public companion object {
        private const val SHUTDOWN_TIMEOUT_MILLIS = 500L
        private const val KEEP_ALIVE_SECONDS = 5L
        private const val MIN_KEEP_ALIVE_SECONDS = 1L

        /** Starts a server that listens at [address] only and accepts only calls with [identity]. */
        public fun start(
            address: InetSocketAddress,
            identity: ClusterIdentity,
            services: List<ServerServiceDefinition>,
            wait: ListenWait = ListenWait.Bounded(),
        ): RpcServer {
            val builder =
                OkHttpServerBuilder
                    .forPort(address, InsecureServerCredentials.create())
                    .socketFactory(PersistentServerSocket.Factory)
                    .intercept(IdentityCheck(identity))
                    .maxInboundMessageSize(RpcLimits.MAX_MESSAGE_BYTES)
                    .permitKeepAliveTime(MIN_KEEP_ALIVE_SECONDS, TimeUnit.SECONDS)
                    .permitKeepAliveWithoutCalls(true)
                    .keepAliveTime(KEEP_ALIVE_SECONDS, TimeUnit.SECONDS)
                    .keepAliveTimeout(KEEP_ALIVE_SECONDS, TimeUnit.SECONDS)
            services.forEach(builder::addService)
            return RpcServer(ListenAddress.bindWhenFree(address, wait) { builder.build().start() })
        }
    }
}
