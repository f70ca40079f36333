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

/** A port of the relay and where it leads; [failureDomain] is that of the target. */
@Serializable
data class RelayRoute(val listenPort: Int, val targetPort: Int, val failureDomain: String)

/** Failure domains whose connections to and from all others carry nothing. */
@Serializable
data class RelayCut(val isolated: Set<String> = emptySet())

/**
 * Relay between the processes of a scenario that can cut failure domains off.
 *
 * As in a real partition, connections across a cut stay open and carry nothing, and what is on its way arrives when the
 * cut is healed. Admin requests: `GET|PUT /cut` with a [RelayCut].
 *
 * @param processes file of the `pid failureDomain` pairs of the run; a connection from a process that is not listed is
 * never cut.
 */
class TcpRelay(routes: List<RelayRoute>, processes: Path, adminPort: Int = 0) : AutoCloseable {
    /** The two ends of a relayed connection. */
    private class Link(val accepted: Channel, val route: RelayRoute) {
        /** Failure domain of the client, once known; null for a process that is not of the run. */
        @Volatile
        var source: String? = null

        @Volatile
        var target: Channel? = null

        /** Bytes that arrive before the target is connected would be lost, so nothing is read until then. */
        @Volatile
        var isConnected = false

        fun crosses(cut: RelayCut): Boolean {
            val from = source ?: return false
            return from != route.failureDomain && (from in cut.isolated || route.failureDomain in cut.isolated)
        }

        /** True while nothing may pass. Bytes that were read before the channels stop reading are held back. */
        @Volatile
        var isHeld = true
            private set

        val held = ArrayDeque<Pair<Channel, Any>>()

        fun hold() {
            isHeld = true
            setReading(false)
        }

        fun release() {
            isHeld = false
            accepted.eventLoop().execute {
                while (!isHeld && held.isNotEmpty()) held.removeFirst().let { (to, bytes) -> to.writeAndFlush(bytes) }
            }
            setReading(true)
        }

        /** Ends the link; what is held back does not arrive. */
        fun drop() {
            target?.close()
            held.forEach { (_, bytes) -> ReferenceCountUtil.release(bytes) }
            held.clear()
        }

        private fun setReading(isOn: Boolean) {
            accepted.config().isAutoRead = isOn
            target?.config()?.isAutoRead = isOn
        }
    }

    private val workers = CommonPools.workerGroup()
    private val sources = SourceDomains(processes)
    private val lookups = Executors.newSingleThreadExecutor { task ->
        Thread(task, "relay-lookup").apply {
            isDaemon =
                true
        }
    }
    private val links = ConcurrentHashMap.newKeySet<Link>()

    @Volatile
    private var cut = RelayCut()

    private val admin = Server.builder()
        .http(InetSocketAddress("127.0.0.1", adminPort))
        .gracefulShutdownTimeout(ZERO, ZERO)
        .service("/cut") { context, request ->
            HttpResponse.of(
                request.aggregate().thenApply {
                    if (context.method() == HttpMethod.PUT) change(labJson.decodeFromString<RelayCut>(it.contentUtf8()))
                    jsonResponse(cut)
                },
            )
        }
        .build()
        .also { it.start().join() }

    private val listeners = routes.map { listen(it) }

    /** The port for admin requests. */
    val adminPort: Int get() = admin.activeLocalPort()

    /** The ports that the routes listen on, in their order. */
    val ports: List<Int> get() = listeners.map { (it.localAddress() as InetSocketAddress).port }

    /** Puts a cut in force, or heals it. */
    @Synchronized
    fun change(changed: RelayCut) {
        cut = changed
        links.forEach { update(it) }
    }

    override fun close() {
        listeners.forEach { it.close() }
        links.forEach { it.accepted.close() }
        lookups.shutdownNow()
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
        val link = Link(channel, route)
        channel.closeFuture().addListener {
            links.remove(link)
            link.drop()
        }
        // The lookup reads the files of several processes, which would block the event loop of other connections.
        lookups.execute {
            link.source = sources.domainOf(port, acceptedAt)
            synchronized(this) {
                links.add(link)
                update(link)
            }
            if (!channel.isOpen) links.remove(link)
        }
    }

    /** Holds the link if it crosses the cut; connects it to its target if that is still to be done. */
    private fun update(link: Link) {
        when {
            link.crosses(cut) -> link.hold()
            link.target == null -> connect(link)
            link.isConnected -> link.release()
        }
    }

    private fun connect(link: Link) {
        val connecting = Bootstrap().group(link.accepted.eventLoop())
            .channel(TransportType.socketChannelType(workers))
            .option(ChannelOption.AUTO_READ, false)
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(Forwarder(link, link.accepted))
            .connect(InetSocketAddress("127.0.0.1", link.route.targetPort))
        link.target = connecting.channel()
        connecting.addListener { connected ->
            if (!connected.isSuccess) {
                link.accepted.close()
            } else {
                link.accepted.pipeline().addLast(Forwarder(link, connecting.channel()))
                link.isConnected = true
                synchronized(this) { update(link) }
            }
        }
    }

    /** Writes what one end sends to the [other] end. Both ends have the same event loop. */
    private class Forwarder(private val link: Link, private val other: Channel) : ChannelInboundHandlerAdapter() {
        override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
            if (link.isHeld ||
                link.held.isNotEmpty()
            ) {
                link.held.addLast(other to message)
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
