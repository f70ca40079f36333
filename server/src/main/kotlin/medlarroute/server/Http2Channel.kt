package medlarroute.server

import io.netty.channel.Channel
import io.netty.handler.codec.http2.Http2ConnectionHandler

/** Sends an HTTP/2 PING, which a responsive peer acknowledges; returns false if this is no HTTP/2 channel. */
internal fun Channel.sendPing(): Boolean {
    val handler = pipeline().get(Http2ConnectionHandler::class.java) ?: return false
    val context = pipeline().context(handler)
    handler.encoder().writePing(context, false, System.nanoTime(), context.newPromise())
    context.flush()
    return true
}

/** Closes the channel without waiting for open streams, for a peer that no longer responds. */
internal fun Channel.closeWithoutStreams() {
    // Closing from the head of the pipeline bypasses the HTTP/2 handler, which would wait for open streams to end.
    pipeline().firstContext().close()
}
