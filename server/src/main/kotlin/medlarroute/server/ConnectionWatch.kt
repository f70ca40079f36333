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
 * Gives up HTTP/2 connections that take requests and return nothing, so that later calls open new ones.
 *
 * The client library sends PINGs only on connections that are idle in both directions; a silent connection that is in
 * use would stay open for good.
 */
internal class ConnectionWatch(private val silentAfter: Duration) {
    /** Decorates a client: watches the connection of each request. */
    fun execute(delegate: HttpClient, context: ClientRequestContext, request: HttpRequest): HttpResponse {
        context.log().whenAvailable(RequestLogProperty.SESSION).thenAccept { log ->
            val channel = log.channel() ?: return@thenAccept
            channel.eventLoop().execute { begin(channel, context) }
        }
        return delegate.execute(context, request)
    }

    private fun begin(channel: Channel, context: ClientRequestContext) {
        val watched = channel.attr(KEY).get() ?: Watched(channel).also {
            channel.attr(KEY).set(it)
            channel.pipeline().addFirst(it)
        }
        watched.begin()
        context.log().whenComplete().thenRun { channel.eventLoop().execute { watched.end() } }
    }

    /** One connection; confined to its event loop. */
    private inner class Watched(private val channel: Channel) : ChannelInboundHandlerAdapter() {
        private var requests = 0
        private var hasReadSinceBegin = true
        private var lastReadAt = TimeSource.Monotonic.markNow()
        private var pingedAt: TimeSource.Monotonic.ValueTimeMark? = null
        private var isScheduled = false

        fun begin() {
            requests++
            hasReadSinceBegin = false
            schedule()
        }

        fun end() {
            requests--
        }

        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            if (message is ByteBuf) {
                lastReadAt = TimeSource.Monotonic.markNow()
                hasReadSinceBegin = true
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
            // A request that has timed out is no longer open, but nothing has shown that the connection is alive.
            if (requests == 0 && hasReadSinceBegin) return
            val pinged = pingedAt
            if (pinged != null && pinged.elapsedNow() >= silentAfter) return giveUp()
            if (pinged == null && lastReadAt.elapsedNow() >= CHECK_INTERVAL) ping()
            schedule()
        }

        private fun ping() {
            if (channel.sendPing()) pingedAt = TimeSource.Monotonic.markNow()
        }

        private fun giveUp() {
            log.warn("connection: a PING to {} had no reply, the connection is closed", channel.remoteAddress())
            channel.closeWithoutStreams()
        }
    }

    private companion object {
        val CHECK_INTERVAL = 1_000.milliseconds
        val KEY: AttributeKey<Watched> = AttributeKey.valueOf("medlarroute.watch")
        val log = LogManager.getLogger(ConnectionWatch::class.java)
    }
}
