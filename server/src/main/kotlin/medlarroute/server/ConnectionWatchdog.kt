package medlarroute.server

import com.linecorp.armeria.client.ClientRequestContext
import com.linecorp.armeria.client.HttpClient
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.logging.RequestLogProperty
import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.util.AttributeKey
import org.apache.logging.log4j.LogManager
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * Closes HTTP/2 connections that accept requests and return nothing, so that later calls open new ones.
 *
 * The client library sends PINGs only on connections that are idle in both directions; an unresponsive connection that
 * is in use would stay open forever.
 *
 * @param silentAfter time without a reply to a PING after which a connection is closed.
 */
internal class ConnectionWatchdog(private val silentAfter: Duration) {
    /** Client decorator that monitors the connection of each request. */
    fun execute(delegate: HttpClient, context: ClientRequestContext, request: HttpRequest): HttpResponse {
        context.log().whenAvailable(RequestLogProperty.SESSION).thenAccept { log ->
            val channel = log.channel() ?: return@thenAccept
            channel.eventLoop().execute { monitor(channel, context) }
        }
        return delegate.execute(context, request)
    }

    private fun monitor(channel: Channel, context: ClientRequestContext) {
        val connection = channel.attr(KEY).get() ?: MonitoredConnection(channel).also {
            channel.attr(KEY).set(it)
            channel.pipeline().addFirst(it)
        }
        connection.requestSent()
        context.log().whenComplete().thenRun { channel.eventLoop().execute { connection.requestEnded() } }
    }

    /** One connection; confined to its event loop. */
    private inner class MonitoredConnection(private val channel: Channel) : ChannelInboundHandlerAdapter() {
        private var openRequests = 0
        private var hasReadSinceLastRequest = true
        private var lastReadAt = TimeSource.Monotonic.markNow()
        private var pingedAt: TimeSource.Monotonic.ValueTimeMark? = null
        private var isScheduled = false

        fun requestSent() {
            openRequests++
            hasReadSinceLastRequest = false
            schedule()
        }

        fun requestEnded() {
            openRequests--
        }

        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            if (message is ByteBuf) {
                lastReadAt = TimeSource.Monotonic.markNow()
                hasReadSinceLastRequest = true
                pingedAt = null
            }
            context.fireChannelRead(message)
        }

        private fun schedule() {
            if (isScheduled || !channel.isActive) return
            isScheduled = true
            channel.eventLoop().schedule(::check, CHECK_INTERVAL.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        }

        private fun check() {
            isScheduled = false
            // A timed-out request is no longer open, but does not show that the connection still works.
            if (openRequests == 0 && hasReadSinceLastRequest) return
            val pinged = pingedAt
            if (pinged != null && pinged.elapsedNow() >= silentAfter) return closeUnresponsive()
            if (pinged == null && lastReadAt.elapsedNow() >= CHECK_INTERVAL) ping()
            schedule()
        }

        private fun ping() {
            if (channel.sendPing()) pingedAt = TimeSource.Monotonic.markNow()
        }

        private fun closeUnresponsive() {
            log.warn("connection: {} did not acknowledge a PING, closing the connection", channel.remoteAddress())
            channel.closeWithoutStreams()
        }
    }

    private companion object {
        val CHECK_INTERVAL = 1_000.milliseconds
        val KEY: AttributeKey<MonitoredConnection> = AttributeKey.valueOf("medlarroute.watch")
        val log = LogManager.getLogger(ConnectionWatchdog::class.java)
    }
}
