package medlarroute.server

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http2.DefaultHttp2DataFrame
import io.netty.handler.codec.http2.DefaultHttp2Headers
import io.netty.handler.codec.http2.DefaultHttp2HeadersFrame
import io.netty.handler.codec.http2.DefaultHttp2ResetFrame
import io.netty.handler.codec.http2.Http2Error
import io.netty.handler.codec.http2.Http2FrameCodec
import io.netty.handler.codec.http2.Http2FrameCodecBuilder
import io.netty.handler.codec.http2.Http2FrameStream
import io.netty.handler.codec.http2.Http2HeadersFrame
import io.netty.handler.codec.http2.Http2PingFrame
import io.netty.util.ReferenceCountUtil
import medlarroute.core.BackendId
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/**
 * HTTP/2 server on an ephemeral loopback port that injects faults at the frame level.
 *
 * @param acknowledgesPings whether PINGs are acknowledged on a connection, given its number from 1.
 * @param ignoresConnection whether nothing is ever sent on an accepted connection, given its number from 1.
 * @param onPing called for each PING received.
 * @param onRequest called when the headers of a request have arrived.
 */
internal class RawBackend(
    private val acknowledgesPings: (connection: Int) -> Boolean = { true },
    private val ignoresConnection: (connection: Int) -> Boolean = { false },
    private val onPing: (Request) -> Unit = {},
    private val onRequest: (Request) -> Unit,
) : AutoCloseable {
    /** A received request or PING, with actions on its stream and connection. */
    class Request(
        val connection: Int,
        val path: String,
        private val context: ChannelHandlerContext,
        private val stream: Http2FrameStream?,
    ) {
        fun reset(error: Http2Error) {
            context.writeAndFlush(DefaultHttp2ResetFrame(error).stream(stream))
        }

        fun goAway(lastStreamId: Int) {
            val codec = context.pipeline().get(Http2FrameCodec::class.java)
            val codecContext = context.pipeline().context(codec)
            codec.goAway(
                codecContext,
                lastStreamId,
                Http2Error.NO_ERROR.code(),
                Unpooled.EMPTY_BUFFER,
                codecContext.newPromise(),
            )
            codecContext.flush()
        }

        fun reply(json: String) {
            context.write(DefaultHttp2HeadersFrame(DefaultHttp2Headers().status("200")).stream(stream))
            val body = Unpooled.copiedBuffer(json, Charsets.UTF_8)
            context.writeAndFlush(DefaultHttp2DataFrame(body, true).stream(stream))
        }

        /** Closes the connection without GOAWAY, as a crash of the process would. */
        fun close() {
            context.pipeline().firstContext().close()
        }
    }

    private val group = NioEventLoopGroup(1)
    private val connections = AtomicInteger()
    private val channel = ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel::class.java)
        .childHandler(object : ChannelInitializer<Channel>() {
            override fun initChannel(channel: Channel) = open(channel, connections.incrementAndGet())
        })
        .bind("127.0.0.1", 0)
        .sync()
        .channel()

    val connectionCount: Int get() = connections.get()
    val address =
        BackendAddress(BackendId("b1"), "127.0.0.1", (channel.localAddress() as InetSocketAddress).port)

    private fun open(channel: Channel, connection: Int) {
        if (ignoresConnection(connection)) return
        val codec = Http2FrameCodecBuilder.forServer().autoAckPingFrame(acknowledgesPings(connection)).build()
        channel.pipeline().addLast(codec, FrameHandler(connection))
    }

    private inner class FrameHandler(private val connection: Int) : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, frame: Any) {
            when (frame) {
                is Http2HeadersFrame ->
                    onRequest(Request(connection, frame.headers().path().toString(), context, frame.stream()))

                is Http2PingFrame -> if (!frame.ack()) onPing(Request(connection, "", context, null))
            }
            ReferenceCountUtil.release(frame)
        }
    }

    override fun close() {
        channel.close().sync()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }
}
