package medlarroute.dispatch

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import java.io.IOException

/** Binds [bootstrap] to [host] and [port]. Throws [IOException], which names the address, if that fails. */
public fun listen(bootstrap: ServerBootstrap, host: String, port: Int): Channel {
    val binding = bootstrap.bind(host, port).awaitUninterruptibly()
    if (binding.isSuccess) return binding.channel()
    throw IOException("can't listen on $host:$port: ${binding.cause().message}", binding.cause())
}
