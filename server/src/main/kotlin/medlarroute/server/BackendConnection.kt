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
 * Observes the bytes that arrive on one HTTP/2 connection. Confined to the event loop of its channel.
 *
 * The client library sends PINGs only on connections that are idle in both directions, so a connection that takes
 * requests and returns nothing is detected here.
 */
internal class BackendConnection private constructor(private val channel: Channel) : ChannelInboundHandlerAdapter() {
    private var lastReadAt = TimeSource.Monotonic.markNow()
    private var requests = 0
    private var goneAway = false

    /** True while a check of this connection is scheduled. */
    var watched = false

    /** True while requests wait for a reply. */
    val isInUse: Boolean get() = requests > 0 && channel.isActive

    /** True if new requests go over this connection. */
    val isUsable: Boolean get() = channel.isActive && !goneAway

    /** Time since the last byte arrived, or since the first of the waiting requests was sent if that is shorter. */
    fun quietFor(): Duration = lastReadAt.elapsedNow()

    /** A request was sent. */
    fun begin() {
        if (requests++ == 0) lastReadAt = TimeSource.Monotonic.markNow()
    }

    /** A request has ended. */
    fun end() {
        requests--
    }

    /** Sends a PING; a live peer acknowledges it. */
    fun ping() {
        channel.sendPing()
    }

    /** Closes the connection without waiting for its streams: the peer no longer answers. */
    fun abort(): Unit = channel.closeWithoutStreams()

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message is ByteBuf) lastReadAt = TimeSource.Monotonic.markNow()
        context.fireChannelRead(message)
    }

    companion object {
        private val KEY: AttributeKey<BackendConnection> = AttributeKey.valueOf("medlarroute.connection")

        /** The observer of [channel]; installs it at the first call. [onGoAway] is called when the peer is leaving. */
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
            goneAway = true
            if (errorCode == Http2Error.NO_ERROR.code()) onGoAway()
        }
    }
}
