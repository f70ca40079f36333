package medlarroute.dispatch

import io.netty.bootstrap.Bootstrap
import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import java.net.InetSocketAddress

/** Forwards connections on loopback to [targetPort]. All calls are made on the one event loop of [group]. */
internal class SilentProxy(private val group: EventLoopGroup, private val targetPort: Int) {
    private class Link(val dialed: Channel) {
        var target: Channel? = null
        var isSilentTowardsTarget = false
    }

    private val links = ArrayList<Link>()
    private val server = ServerBootstrap().group(group).channel(NioServerSocketChannel::class.java)
        .childHandler(object : ChannelInitializer<SocketChannel>() {
            override fun initChannel(channel: SocketChannel) = accept(channel)
        })
        .bind("127.0.0.1", 0).sync().channel()
    val port: Int = (server.localAddress() as InetSocketAddress).port

    /** What is sent to the target on the open connections is lost from now on. */
    fun silenceTowardsTarget() = links.forEach { it.isSilentTowardsTarget = true }

    /** Closes the connection that was opened last. */
    fun closeNewest() {
        links.last { it.dialed.isActive }.dialed.close()
    }

    private fun accept(channel: SocketChannel) {
        val link = Link(channel)
        links += link
        channel.config().isAutoRead = false
        channel.pipeline().addLast(Forwarder({ link.target }, { link.isSilentTowardsTarget }))
        Bootstrap().group(group).channel(NioSocketChannel::class.java)
            .handler(Forwarder({ channel }, { false }))
            .connect("127.0.0.1", targetPort)
            .addListener { future ->
                if (future.isSuccess) channel.config().isAutoRead = true else channel.close()
            }
            .channel().also { link.target = it }
    }

    private class Forwarder(private val receiver: () -> Channel?, private val isSilent: () -> Boolean) :
        ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            if (isSilent()) (message as ByteBuf).release() else receiver()?.writeAndFlush(message)
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            if (!isSilent()) receiver()?.close()
        }

        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            context.close()
        }
    }
}
