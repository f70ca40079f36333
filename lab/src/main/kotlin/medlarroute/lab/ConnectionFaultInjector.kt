package medlarroute.lab

import io.netty.channel.Channel
import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOption
import io.netty.channel.ChannelPipeline
import io.netty.channel.ChannelPromise
import io.netty.util.ReferenceCountUtil
import java.net.SocketAddress
import java.util.concurrent.ConcurrentHashMap

/**
 * Injects faults into the TCP connections of a stand-in server.
 *
 * The faults act below HTTP, so that they affect HTTP/2 PINGs as well as requests. Pass [install] to the server as the
 * customizer of its child channel pipelines. Thread-safe.
 */
internal class ConnectionFaultInjector {
    private val handlers = ConcurrentHashMap.newKeySet<FaultHandler>()

    /**
     * While true, all connections stay open but no data passes in either direction. Buffered data is delivered once
     * this is set back to false.
     */
    @Volatile
    var stalled: Boolean = false
        set(value) {
            field = value
            if (!value) handlers.forEach { it.flushBuffers() }
        }

    /** While true, new connections are reset at once, and data on connections that are still open is discarded. */
    @Volatile
    var closed: Boolean = false

    val openConnections: Int get() = handlers.size

    fun install(pipeline: ChannelPipeline) {
        if (closed) {
            reset(pipeline.channel())
        } else {
            pipeline.addFirst(FaultHandler())
        }
    }

    /**
     * Turns all currently open connections into black holes: they stay open, and all data on them is discarded for the
     * rest of their lifetime. Returns their number.
     */
    fun blackholeOpenConnections(): Int = handlers.onEach { it.blackholed = true }.size

    /** Closes all connections with a TCP reset. */
    fun resetAll(): Unit = handlers.forEach { handler -> handler.channel?.let { reset(it) } }

    /** Closes the connection from [remote] with a TCP reset. */
    fun reset(remote: SocketAddress) {
        handlers.mapNotNull { it.channel }.filter { it.remoteAddress() == remote }.forEach { reset(it) }
    }

    private fun reset(channel: Channel) {
        // With SO_LINGER 0, closing the socket sends RST instead of FIN.
        channel.config().setOption(ChannelOption.SO_LINGER, 0)
        channel.close()
    }

    private inner class FaultHandler : ChannelDuplexHandler() {
        private var context: ChannelHandlerContext? = null
        private val bufferedReads = ArrayDeque<Any>()
        private val bufferedWrites = ArrayDeque<Pair<Any, ChannelPromise>>()

        @Volatile
        var blackholed = false

        val channel: Channel? get() = context?.channel()

        override fun handlerAdded(ctx: ChannelHandlerContext) {
            context = ctx
            handlers.add(this)
        }

        override fun channelInactive(ctx: ChannelHandlerContext) {
            unregister()
            super.channelInactive(ctx)
        }

        override fun handlerRemoved(ctx: ChannelHandlerContext) = unregister()

        override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
            when {
                blackholed || closed -> ReferenceCountUtil.release(message)
                stalled -> bufferedReads.addLast(message)
                else -> ctx.fireChannelRead(message)
            }
        }

        override fun write(ctx: ChannelHandlerContext, message: Any, promise: ChannelPromise) {
            when {
                blackholed || closed -> {
                    ReferenceCountUtil.release(message)
                    promise.setSuccess()
                }

                stalled -> bufferedWrites.addLast(message to promise)

                else -> ctx.write(message, promise)
            }
        }

        fun flushBuffers() {
            val ctx = context ?: return
            ctx.executor().execute {
                while (bufferedReads.isNotEmpty()) channelRead(ctx, bufferedReads.removeFirst())
                ctx.fireChannelReadComplete()
                while (bufferedWrites.isNotEmpty()) {
                    bufferedWrites.removeFirst().let { (message, promise) ->
                        write(ctx, message, promise)
                    }
                }
                ctx.flush()
            }
        }

        private fun unregister() {
            handlers.remove(this)
            bufferedReads.forEach { ReferenceCountUtil.release(it) }
            bufferedReads.clear()
            bufferedWrites.forEach { (message, _) -> ReferenceCountUtil.release(message) }
            bufferedWrites.clear()
        }
    }
}
