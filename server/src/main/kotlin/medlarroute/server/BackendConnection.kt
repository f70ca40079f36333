package medlarroute.server

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http2.Http2ConnectionAdapter
import io.netty.handler.codec.http2.Http2ConnectionHandler
import io.netty.handler.codec.http2.Http2Error
import io.netty.util.AttributeKey
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * Monitors incoming data on one HTTP/2 connection. Confined to the event loop of its channel.
 *
 * The client library sends PINGs only on connections that are idle in both directions, so it does not detect a
 * connection that accepts requests and returns nothing.
 */
internal class BackendConnection private constructor(private val channel: Channel) : ChannelInboundHandlerAdapter() {
    private var lastReadAt = TimeSource.Monotonic.markNow()
    private var openRequests = 0
    private var goAwayReceived = false

    /** True while a check of this connection is scheduled. */
    var isCheckScheduled = false

    /** True while requests are waiting for a reply. */
    val isInUse: Boolean get() = openRequests > 0 && channel.isActive

    /** True if the connection accepts new requests. */
    val isUsable: Boolean get() = channel.isActive && !goAwayReceived

    /** Time since data last arrived, or since the first of the waiting requests was sent if that is shorter. */
    fun timeSinceLastRead(): Duration = lastReadAt.elapsedNow()

    /** Records that a request was sent. */
    fun requestSent() {
        if (openRequests++ == 0) lastReadAt = TimeSource.Monotonic.markNow()
    }

    /** Records that a request has ended. */
    fun requestEnded() {
        openRequests--
    }

    /** Sends a PING; a live peer acknowledges it. */
    fun ping() {
        channel.sendPing()
    }

    /** Closes the connection without waiting for open streams, for a peer that no longer responds. */
    fun abort(): Unit = channel.closeWithoutStreams()

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message is ByteBuf) lastReadAt = TimeSource.Monotonic.markNow()
        context.fireChannelRead(message)
    }

    companion object {
        private val KEY: AttributeKey<BackendConnection> = AttributeKey.valueOf("medlarroute.connection")

        /**
         * Returns the monitor of [channel], which the first call installs. [onGoAway] is called when the peer announces
         * a graceful shutdown with GOAWAY.
         */
        fun of(channel: Channel, onGoAway: () -> Unit): BackendConnection {
            channel.attr(KEY).get()?.let { return it }
            val connection = BackendConnection(channel)
            channel.attr(KEY).set(connection)
            channel.pipeline().addFirst(connection)
            val handler = channel.pipeline().get(Http2ConnectionHandler::class.java) ?: return connection
            handler.connection().addListener(connection.GoAwayListener(onGoAway))
            return connection
        }
    }

    private inner class GoAwayListener(private val onGoAway: () -> Unit) : Http2ConnectionAdapter() {
        override fun onGoAwayReceived(lastStreamId: Int, errorCode: Long, debugData: ByteBuf) {
            goAwayReceived = true
            if (errorCode == Http2Error.NO_ERROR.code()) onGoAway()
        }
    }
}
