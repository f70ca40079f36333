package medlarroute.server

import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

/** Passes bytes on to [target] on loopback, counts them in both directions, and can silence connections. */
internal class CountingRelay(private val target: Int) : AutoCloseable {
    private val listener = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    private val silenced = CopyOnWriteArrayList<AtomicBoolean>()
    val bytes = AtomicLong()
    val port: Int get() = listener.localPort

    init {
        thread(isDaemon = true) { runCatching { while (true) accept() } }
    }

    /** From now on the open connections pass nothing and stay open; new ones work. */
    fun silence() = silenced.forEach { it.set(true) }

    private fun accept() {
        val near = listener.accept()
        val far = Socket(InetAddress.getLoopbackAddress(), target)
        val isSilent = AtomicBoolean()
        silenced += isSilent
        copy(near, far, isSilent)
        copy(far, near, isSilent)
    }

    private fun copy(from: Socket, to: Socket, isSilent: AtomicBoolean) = thread(isDaemon = true) {
        runCatching {
            val buffer = ByteArray(65_536)
            generateSequence { from.getInputStream().read(buffer).takeIf { it >= 0 } }.forEach { count ->
                bytes.addAndGet(count.toLong())
                if (!isSilent.get()) to.getOutputStream().write(buffer, 0, count)
            }
        }
        to.close()
    }

    override fun close() = listener.close()
}
