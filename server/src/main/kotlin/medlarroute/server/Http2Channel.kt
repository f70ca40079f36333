package medlarroute.server

import io.netty.channel.Channel
import io.netty.handler.codec.http2.Http2ConnectionHandler

/** Sends an HTTP/2 PING, which a live peer acknowledges; false if the channel speaks no HTTP/2. */
internal fun Channel.sendPing(): Boolean {
    val handler = pipeline().get(Http2ConnectionHandler::class.java) ?: return false
    val context = pipeline().context(handler)
    handler.encoder().writePing(context, false, System.nanoTime(), context.newPromise())
    context.flush()
    return true
}

/** Closes the channel without waiting for its streams: the peer no longer answers. */
internal fun Channel.closeWithoutStreams() {
    // Close from the head of the pipeline. The HTTP/2 handler would first wait for open streams to end.
    pipeline().firstContext().close()
}
