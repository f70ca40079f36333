package medlarroute.dispatch

import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import java.net.ServerSocket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

/** [PeerNetwork] over loopback connections that go silent towards one side, or of which one of several is closed. */
class SilentPeerConnectionTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val clock = TestTimeSource()

    private inner class Peer(name: String, number: Long, failureDomain: String) : PeerListener {
        private val port = ServerSocket(0).use { it.localPort }
        val proxy = SilentProxy(group, port)
        val member = PeerMember(name, failureDomain, "127.0.0.1", proxy.port, number)
        val received = CopyOnWriteArrayList<PeerMessage>()
        var connected = 0
        var heartbeat = PeerMessage.Heartbeat()
        var requests = emptyMap<String, List<Long>>()
        val network = PeerNetwork({ member }, PeerNetworkSettings(), group, clock, this) { _, _, _ -> }
            .also { it.listen("127.0.0.1", port) }

        override fun onMessage(peer: PeerMember, message: PeerMessage) {
            received += message
        }

        override fun onConnected(peer: PeerMember) {
            connected++
        }

        override fun heartbeat() = heartbeat

        override fun openRequests() = requests

        override fun partners() = requests.keys
    }

    @AfterEach
    fun stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(WAIT_S, TimeUnit.SECONDS)
    }

    private fun <T> onLoop(action: () -> T): T = group.next().submit(action).get(WAIT_S, TimeUnit.SECONDS)

    private fun await(condition: () -> Boolean) {
        val endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_S)
        while (!onLoop(condition)) {
            check(System.nanoTime() < endNs) { "not within $WAIT_S s" }
            Thread.sleep(1)
        }
    }

    /** Advances the clock by one heartbeat interval and waits until nothing more arrives. */
    private fun tick(vararg peers: Peer) {
        onLoop {
            clock += PeerNetworkSettings().heartbeatIntervalMs.milliseconds
            peers.forEach { it.network.tick() }
        }
        var before = -1
        while (true) {
            val arrived = onLoop { peers.sumOf { it.received.size + it.connected } }
            if (arrived == before) return
            before = arrived
            Thread.sleep(SETTLE_MS)
        }
    }

    private fun ticksUntil(vararg peers: Peer, condition: () -> Boolean): Int {
        var ticks = 0
        while (!onLoop(condition) && ticks < MAX_TICKS) {
            tick(*peers)
            ticks++
        }
        return ticks
    }

    private fun connect(dialing: Peer, accepting: Peer, others: Int = 0) {
        val unreachable = List(others) { PeerMember("x$it", "d", "127.0.0.1", 1, 100L + it) }
        onLoop {
            dialing.network.setMembers(unreachable + accepting.member)
            accepting.network.setMembers(unreachable + dialing.member)
            clock += 1_000.milliseconds
            dialing.network.tick()
        }
        await { dialing.connected > 0 && accepting.connected > 0 }
    }

    /** Guards against messages that are lost for as long as the other direction works. */
    @Test
    fun `a connection that is silent in one direction is replaced`() {
        val a = Peer("a", 2, "d")
        val b = Peer("b", 1, "d")
        connect(a, b)
        onLoop { b.proxy.silenceTowardsTarget() }
        onLoop { a.network.send("b", MESSAGE) }
        val connected = a.connected
        ticksUntil(a, b) { a.connected > connected } shouldBeLessThanOrEqualTo FEW_TICKS
        onLoop { a.network.send("b", MESSAGE) }
        await { MESSAGE in b.received }
    }

    /**
     * Guards against a job that reaches its owner seconds late. The owner expects a heartbeat of the sender only after
     * the long interval, and the message that announces the short one is lost with the job.
     */
    @Test
    fun `an instance that submits a job to a distant owner on a silent connection opens a new one`() {
        val owner = Peer("a", 1, "d").apply { heartbeat = heartbeat.copy(owned = mapOf("d" to 1L)) }
        val entry = Peer("b", 200, "e")
        connect(entry, owner, others = 13)
        repeat(LONG_INTERVAL_TICKS) { tick(entry, owner) }
        onLoop { owner.proxy.silenceTowardsTarget() }
        onLoop {
            entry.requests = mapOf("a" to listOf(1L))
            entry.network.send("a", MESSAGE)
        }
        val connected = entry.connected
        ticksUntil(entry, owner) { entry.connected > connected } shouldBeLessThanOrEqualTo FEW_TICKS
    }

    /** Guards against a result that is lost with one of two connections, and that its caller never gets. */
    @Test
    fun `both sides learn that messages may be lost when one of several connections closes`() {
        val a = Peer("a", 2, "d")
        val b = Peer("b", 1, "d")
        connect(a, b)
        onLoop { a.network.dialAddress("127.0.0.1", b.member.port) }
        await { a.connected == 2 && b.connected == 2 }
        onLoop { b.proxy.closeNewest() }
        await { a.connected > 2 && b.connected > 2 }
        onLoop { a.network.send("b", MESSAGE) }
        await { MESSAGE in b.received }
    }

    /** Guards against new connections to an owner that has answered in time. */
    @Test
    fun `an instance that submits a job to a distant owner keeps a connection that works`() {
        val owner = Peer("a", 1, "d").apply { heartbeat = heartbeat.copy(owned = mapOf("d" to 1L)) }
        val entry = Peer("b", 200, "e")
        connect(entry, owner, others = 13)
        repeat(LONG_INTERVAL_TICKS) { tick(entry, owner) }
        onLoop {
            entry.requests = mapOf("a" to listOf(1L))
            owner.requests = mapOf("b" to emptyList())
            entry.network.send("a", MESSAGE)
        }
        val connected = entry.connected
        repeat(LONG_INTERVAL_TICKS) { tick(entry, owner) }
        entry.connected shouldBe connected
        entry.received.size shouldBeGreaterThan LONG_INTERVAL_TICKS
    }

    private companion object {
        const val WAIT_S = 20L
        const val SETTLE_MS = 15L

        /** More than the time after which a new connection is opened at the short interval, and a tick. */
        const val FEW_TICKS = 5
        const val MAX_TICKS = 40

        /** Enough for both sides to announce the long interval. */
        const val LONG_INTERVAL_TICKS = 22
        val MESSAGE = PeerMessage.OpenRequests(listOf(7))
    }
}
