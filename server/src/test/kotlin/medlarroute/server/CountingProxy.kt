package medlarroute.server

import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

/** TCP proxy to the loopback port [targetPort] that counts the bytes of both directions and can stall connections. */
internal class CountingProxy(private val targetPort: Int) : AutoCloseable {
    private val listener = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    private val stalledFlags = CopyOnWriteArrayList<AtomicBoolean>()
    val bytes = AtomicLong()
    val port: Int get() = listener.localPort

    init {
        thread(isDaemon = true) { runCatching { while (true) accept() } }
    }

    /** Stalls the open connections: they stay open and forward nothing from now on. New connections work. */
    fun stallOpenConnections() = stalledFlags.forEach { it.set(true) }

    private fun accept() {
        val clientSide = listener.accept()
        val serverSide = Socket(InetAddress.getLoopbackAddress(), targetPort)
        val isStalled = AtomicBoolean()
        stalledFlags += isStalled
        copy(clientSide, serverSide, isStalled)
        copy(serverSide, clientSide, isStalled)
    }

    private fun copy(from: Socket, to: Socket, isStalled: AtomicBoolean) = thread(isDaemon = true) {
        runCatching {
            val buffer = ByteArray(65_536)
            generateSequence { from.getInputStream().read(buffer).takeIf { it >= 0 } }.forEach { count ->
                bytes.addAndGet(count.toLong())
                if (!isStalled.get()) to.getOutputStream().write(buffer, 0, count)
            }
        }
        to.close()
    }

    override fun close() = listener.close()
}
