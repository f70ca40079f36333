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
 * Faults at the level of TCP connections for a server of the lab, injected below HTTP so that HTTP/2 PINGs suffer as
 * well. Add [install] as the server's pipeline customizer. Thread-safe.
 */
internal class ConnectionGate {
    private val handlers = ConcurrentHashMap.newKeySet<Handler>()

    /** While true, all connections stay open and nothing passes; what was held back passes afterwards. */
    @Volatile
    var paused: Boolean = false
        set(value) {
            field = value
            if (!value) handlers.forEach { it.release() }
        }

    /** While true, new connections are closed at once and nothing passes on those that are not closed yet. */
    @Volatile
    var closed: Boolean = false

    /** Number of open connections. */
    val openConnections: Int get() = handlers.size

    fun install(pipeline: ChannelPipeline) {
        if (closed) {
            reset(pipeline.channel())
        } else {
            pipeline.addFirst(Handler())
        }
    }

    /** Makes all connections that exist now silent for good: they stay open and whatever is sent on them vanishes. */
    fun silenceExisting(): Int = handlers.onEach { it.silent = true }.size

    /** Closes all connections with a TCP reset. */
    fun resetAll(): Unit = handlers.forEach { handler -> handler.channel?.let { reset(it) } }

    /** Closes the connection from [remote] with a TCP reset. */
    fun reset(remote: SocketAddress) {
        handlers.mapNotNull { it.channel }.filter { it.remoteAddress() == remote }.forEach { reset(it) }
    }

    private fun reset(channel: Channel) {
        channel.config().setOption(ChannelOption.SO_LINGER, 0)
        channel.close()
    }

    private inner class Handler : ChannelDuplexHandler() {
        private var context: ChannelHandlerContext? = null
        private val heldReads = ArrayDeque<Any>()
        private val heldWrites = ArrayDeque<Pair<Any, ChannelPromise>>()

        @Volatile
        var silent = false

        val channel: Channel? get() = context?.channel()

        override fun handlerAdded(ctx: ChannelHandlerContext) {
            context = ctx
            handlers.add(this)
        }

        override fun channelInactive(ctx: ChannelHandlerContext) {
            forget()
            super.channelInactive(ctx)
        }

        override fun handlerRemoved(ctx: ChannelHandlerContext) = forget()

        override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
            when {
                silent || closed -> ReferenceCountUtil.release(message)
                paused -> heldReads.addLast(message)
                else -> ctx.fireChannelRead(message)
            }
        }

        override fun write(ctx: ChannelHandlerContext, message: Any, promise: ChannelPromise) {
            when {
                silent || closed -> {
                    ReferenceCountUtil.release(message)
                    promise.setSuccess()
                }

                paused -> heldWrites.addLast(message to promise)

                else -> ctx.write(message, promise)
            }
        }

        fun release() {
            val ctx = context ?: return
            ctx.executor().execute {
                while (heldReads.isNotEmpty()) channelRead(ctx, heldReads.removeFirst())
                ctx.fireChannelReadComplete()
                while (heldWrites.isNotEmpty()) {
                    heldWrites.removeFirst().let { (message, promise) ->
                        write(ctx, message, promise)
                    }
                }
                ctx.flush()
            }
        }

        private fun forget() {
            handlers.remove(this)
            heldReads.forEach { ReferenceCountUtil.release(it) }
            heldReads.clear()
            heldWrites.forEach { (message, _) -> ReferenceCountUtil.release(message) }
            heldWrites.clear()
        }
    }
}
