package medlarroute.lab

import com.linecorp.armeria.common.CommonPools
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.util.TransportType
import com.linecorp.armeria.server.Server
import io.netty.bootstrap.Bootstrap
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.util.ReferenceCountUtil
import kotlinx.serialization.Serializable
import java.net.InetSocketAddress
import java.nio.file.Path
import java.time.Duration.ZERO
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import kotlin.time.TimeSource

/** Forwards connections from [listenPort] to [targetPort]; [failureDomain] is the failure domain of the target. */
@Serializable
data class RelayRoute(val listenPort: Int, val targetPort: Int, val failureDomain: String)

/** A network partition: no data passes between an [isolated] failure domain and any other failure domain. */
@Serializable
data class NetworkPartition(val isolated: Set<String> = emptySet())

/**
 * TCP proxy between the processes of a scenario that can simulate network partitions between failure domains.
 *
 * As in a real partition, connections across its boundary stay open without passing data, and data in transit is
 * delivered once the partition heals. Admin requests: `GET|PUT /cut` with a [NetworkPartition].
 *
 * @param processes file with the `pid failureDomain` pairs of the run; a connection from a process that is not listed
 * is never affected.
 */
class TcpRelay(routes: List<RelayRoute>, processes: Path, adminPort: Int = 0) : AutoCloseable {
    /** A relayed connection: the channel accepted from the client and the channel to the target. */
    private class RelayedConnection(val accepted: Channel, val route: RelayRoute) {
        /** Failure domain of the client; null until it is resolved and for a process that is not part of the run. */
        @Volatile
        var sourceDomain: String? = null

        @Volatile
        var target: Channel? = null

        /** Data that is read before the target is connected would be lost, so auto-read stays off until then. */
        @Volatile
        var isConnected = false

        fun crosses(partition: NetworkPartition): Boolean {
            val from = sourceDomain ?: return false
            val to = route.failureDomain
            return from != to && (from in partition.isolated || to in partition.isolated)
        }

        /** True while no data may pass. Data that is still read after auto-read was switched off is buffered. */
        @Volatile
        var isStalled = true
            private set

        /** Data that was read while stalled, with the channel it goes to. */
        val buffered = ArrayDeque<Pair<Channel, Any>>()

        fun stall() {
            isStalled = true
            setAutoRead(false)
        }

        fun resume() {
            isStalled = false
            accepted.eventLoop().execute {
                while (!isStalled && buffered.isNotEmpty()) {
                    buffered.removeFirst().let { (to, bytes) -> to.writeAndFlush(bytes) }
                }
            }
            setAutoRead(true)
        }

        /** Closes the target and discards the buffered data. */
        fun close() {
            target?.close()
            buffered.forEach { (_, bytes) -> ReferenceCountUtil.release(bytes) }
            buffered.clear()
        }

        private fun setAutoRead(isEnabled: Boolean) {
            accepted.config().isAutoRead = isEnabled
            target?.config()?.isAutoRead = isEnabled
        }
    }

    private val workers = CommonPools.workerGroup()
    private val sourceDomains = SourceDomainResolver(processes)
    private val lookupExecutor =
        Executors.newSingleThreadExecutor { task -> Thread(task, "relay-lookup").apply { isDaemon = true } }
    private val connections = ConcurrentHashMap.newKeySet<RelayedConnection>()

    @Volatile
    private var partition = NetworkPartition()

    private val admin = Server.builder()
        .http(InetSocketAddress("127.0.0.1", adminPort))
        .gracefulShutdownTimeout(ZERO, ZERO)
        .service("/cut") { context, request ->
            HttpResponse.of(
                request.aggregate().thenApply {
                    if (context.method() == HttpMethod.PUT) setPartition(labJson.decodeFromString(it.contentUtf8()))
                    jsonResponse(partition)
                },
            )
        }
        .build()
        .also { it.start().join() }

    private val listeners = routes.map { listen(it) }

    /** The port for admin requests. */
    val adminPort: Int get() = admin.activeLocalPort()

    /** The ports that the routes listen on, in the order of the routes. */
    val ports: List<Int> get() = listeners.map { (it.localAddress() as InetSocketAddress).port }

    /** Replaces the current partition; one without isolated failure domains heals it. */
    @Synchronized
    fun setPartition(changed: NetworkPartition) {
        partition = changed
        connections.forEach { update(it) }
    }

    override fun close() {
        listeners.forEach { it.close() }
        connections.forEach { it.accepted.close() }
        lookupExecutor.shutdownNow()
        admin.stop()
    }

    private fun listen(route: RelayRoute): Channel =
        ServerBootstrap().group(workers)
            .channel(TransportType.serverChannelType(workers))
            .childOption(ChannelOption.AUTO_READ, false)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                object : ChannelInitializer<Channel>() {
                    override fun initChannel(channel: Channel) = accept(channel, route)
                },
            )
            .bind(InetSocketAddress("127.0.0.1", route.listenPort)).sync().channel()

    private fun accept(channel: Channel, route: RelayRoute) {
        val port = (channel.remoteAddress() as InetSocketAddress).port
        val acceptedAt = TimeSource.Monotonic.markNow()
        val connection = RelayedConnection(channel, route)
        channel.closeFuture().addListener {
            connections.remove(connection)
            connection.close()
        }
        // Resolving reads /proc of several processes, which would block the other connections of the event loop.
        lookupExecutor.execute {
            connection.sourceDomain = sourceDomains.domainOf(port, acceptedAt)
            synchronized(this) {
                connections.add(connection)
                update(connection)
            }
            if (!channel.isOpen) connections.remove(connection)
        }
    }

    /** Stalls a connection that crosses the partition; otherwise connects it to its target or resumes it. */
    private fun update(connection: RelayedConnection) {
        when {
            connection.crosses(partition) -> connection.stall()
            connection.target == null -> connect(connection)
            connection.isConnected -> connection.resume()
        }
    }

    private fun connect(connection: RelayedConnection) {
        val connecting = Bootstrap().group(connection.accepted.eventLoop())
            .channel(TransportType.socketChannelType(workers))
            .option(ChannelOption.AUTO_READ, false)
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(Forwarder(connection, connection.accepted))
            .connect(InetSocketAddress("127.0.0.1", connection.route.targetPort))
        connection.target = connecting.channel()
        connecting.addListener { connected ->
            if (!connected.isSuccess) {
                connection.accepted.close()
            } else {
                connection.accepted.pipeline().addLast(Forwarder(connection, connecting.channel()))
                connection.isConnected = true
                synchronized(this) { update(connection) }
            }
        }
    }

    /** Forwards the data that its channel reads to the [other] channel. Both channels share an event loop. */
    private class Forwarder(private val connection: RelayedConnection, private val other: Channel) :
        ChannelInboundHandlerAdapter() {
        override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
            // Data must not overtake what is still buffered.
            if (connection.isStalled || connection.buffered.isNotEmpty()) {
                connection.buffered.addLast(other to message)
            } else {
                other.writeAndFlush(message)
            }
        }

        override fun channelInactive(ctx: ChannelHandlerContext) {
            other.close()
        }

        override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
            ctx.close()
        }
    }
}
