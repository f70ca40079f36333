package medlarroute.lab

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.condition.EnabledOnOs
import org.junit.jupiter.api.condition.OS
import org.junit.jupiter.api.io.TempDir
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketTimeoutException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.concurrent.thread

@EnabledOnOs(OS.LINUX)
class TcpRelayTest {
    @TempDir
    lateinit var directory: Path

    private val resources = ArrayList<AutoCloseable>()

    @AfterEach
    fun closeAll(): Unit = resources.asReversed().forEach { it.close() }

    /** Starts an echo server and returns its port. */
    private fun startEchoServer(): Int {
        val server = ServerSocket(0).also { resources.add(it) }
        thread(isDaemon = true) {
            while (!server.isClosed) {
                val socket = runCatching { server.accept() }.getOrNull() ?: break
                thread(isDaemon = true) { runCatching { socket.getInputStream().transferTo(socket.getOutputStream()) } }
            }
        }
        return server.localPort
    }

    private fun relay(sourceDomain: String, targetDomain: String): TcpRelay {
        val processes = directory.resolve("processes")
        Files.writeString(processes, "${ProcessHandle.current().pid()} $sourceDomain\n")
        return TcpRelay(listOf(RelayRoute(0, startEchoServer(), targetDomain)), processes).also { resources.add(it) }
    }

    private fun connect(relay: TcpRelay): Socket =
        Socket("127.0.0.1", relay.ports.single()).also {
            it.soTimeout = 5_000
            resources.add(it)
        }

    private fun Socket.send(byte: Int) = getOutputStream().write(byte)

    private fun Socket.receive(timeoutMs: Int = 5_000): Int {
        soTimeout = timeoutMs
        return getInputStream().read()
    }

    // Guards against a simulated partition that loses data or closes connections, which a real one doesn't.
    @Test
    fun `a partition delays data until it heals`() {
        val relay = relay("north", "south")
        val socket = connect(relay)
        socket.send(1)
        socket.receive() shouldBe 1
        relay.setPartition(NetworkPartition(setOf("south")))
        val late = connect(relay)
        socket.send(2)
        late.send(3)
        shouldThrow<SocketTimeoutException> { socket.receive(200) }
        shouldThrow<SocketTimeoutException> { late.receive(200) }
        relay.setPartition(NetworkPartition())
        socket.receive() shouldBe 2
        late.receive() shouldBe 3
    }

    @Test
    fun `a partition does not affect connections within a failure domain or between other domains`() {
        val within = relay("north", "north")
        within.setPartition(NetworkPartition(setOf("north")))
        connect(within).run {
            send(1)
            receive() shouldBe 1
        }
        val elsewhere = relay("north", "south")
        elsewhere.setPartition(NetworkPartition(setOf("east")))
        connect(elsewhere).run {
            send(2)
            receive() shouldBe 2
        }
    }
}
