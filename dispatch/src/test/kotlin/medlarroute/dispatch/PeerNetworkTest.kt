package medlarroute.dispatch

import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.ints.shouldBeInRange
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

/** Peers on loopback sockets. Their clock and their ticks are the test's. */
class PeerNetworkTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val clock = TestTimeSource()

    private inner class Peer(name: String, number: Long) : PeerListener {
        val member = PeerMember(name, "d", "127.0.0.1", ServerSocket(0).use { it.localPort }, number)
        val received = CopyOnWriteArrayList<Pair<String, PeerMessage>>()
        val events = CopyOnWriteArrayList<String>()
        var beat = PeerMessage.Beat()
        val network = PeerNetwork({ member }, PeerNetworkSettings(), group, clock, this, { part, event, fields ->
            events += "$part $event ${fields.joinToString(" ")}"
        }).also { it.listen(member.host, member.port) }

        override fun received(peer: PeerMember, message: PeerMessage) {
            received += peer.instance to message
        }

        override fun connected(peer: PeerMember) = Unit

        override fun beat(): PeerMessage.Beat = beat

        fun beatsFrom(peer: Peer) = received.count { (from, message) ->
            from == peer.member.instance && message is PeerMessage.Beat
        }

        fun lifeOf(peer: Peer) = network.views().single { it.member.instance == peer.member.instance }.life
    }

    @AfterEach
    fun stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(WAIT_S, TimeUnit.SECONDS)
    }

    private fun <T> onLoop(action: () -> T): T = group.next().submit(action).get(WAIT_S, TimeUnit.SECONDS)

    private fun await(condition: () -> Boolean) {
        val end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_S)
        while (!onLoop(condition)) {
            check(System.nanoTime() < end) { "not within $WAIT_S s" }
            Thread.sleep(1)
        }
    }

    /** Lets [ticks] heartbeat intervals pass for [peers], each seen by the others before the next. */
    private fun pass(ticks: Int, vararg peers: Peer) = repeat(ticks) {
        onLoop {
            clock += PeerNetworkSettings().beatMs.milliseconds
            peers.forEach { it.network.tick() }
        }
        // A round trip on each connection shows that what was sent before has arrived.
        val counts = peers.map { it.received.size }
        onLoop {
            peers.forEach { peer ->
                peers.filter { it !== peer }.forEach { peer.network.send(it.member.instance, PROBE) }
            }
        }
        await {
            peers.withIndex().all { (at, peer) ->
                peer.received.drop(counts[at]).count { it.second == PROBE } >=
                    peers.size - 1
            }
        }
    }

    private fun connect(a: Peer, b: Peer, others: Int = 0) {
        val unreachable = List(others) { PeerMember("x$it", "d", "127.0.0.1", 1, 100L + it) }
        onLoop {
            a.network.list(unreachable + b.member)
            b.network.list(unreachable + a.member)
            clock += 1_000.milliseconds
            a.network.tick()
        }
        await { a.network.isAlive("b") && b.network.isAlive("a") }
    }

    @Test
    fun `in a small deployment every instance beats each interval`() {
        val a = Peer("a", 1)
        val b = Peer("b", 2)
        connect(a, b)
        val before = b.beatsFrom(a)
        pass(ticks = 10, a, b)
        b.beatsFrom(a) - before shouldBeInRange 10..11
    }

    /** Fails if the heartbeats of a large deployment cost as much for followers as for owners. */
    @Test
    fun `in a large deployment an instance that owns nothing beats half as often`() {
        val owner = Peer("a", 1).apply { beat = beat.copy(owned = mapOf("d" to 1L)) }
        val follower = Peer("b", 2)
        connect(owner, follower, others = 13)
        val fromFollower = owner.beatsFrom(follower)
        val fromOwner = follower.beatsFrom(owner)
        pass(ticks = 10, owner, follower)
        owner.beatsFrom(follower) - fromFollower shouldBeInRange 5..6
        follower.beatsFrom(owner) - fromOwner shouldBeInRange 10..11
        owner.lifeOf(follower) shouldBe PeerLife.ALIVE
    }

    @Test
    fun `news go out with the next tick`() {
        val a = Peer("a", 1)
        val b = Peer("b", 2)
        connect(a, b, others = 13)
        pass(ticks = 1, a, b)
        onLoop { b.beat = b.beat.copy(leaving = true) }
        pass(ticks = 1, a, b)
        a.received.map { it.second }.filterIsInstance<PeerMessage.Beat>().map { it.leaving } shouldContain true
    }

    /** Fails if a silent owner is taken for alive as long as a follower that beats half as often. */
    @Test
    fun `an owner counts as silent sooner than a follower`() {
        val owner = Peer("a", 1).apply { beat = beat.copy(owned = mapOf("d" to 1L)) }
        val follower = Peer("b", 2)
        connect(owner, follower, others = 13)
        pass(ticks = 1, owner, follower)
        onLoop {
            clock += 450.milliseconds
            owner.network.tick()
            follower.network.tick()
        }
        onLoop { follower.events.toList() }.any { "life peer a" in it && "is SILENT" in it } shouldBe true
        onLoop { owner.events.toList() }.any { "life peer b" in it && "is SILENT" in it } shouldBe false
    }

    private companion object {
        const val WAIT_S = 20L
        val PROBE = PeerMessage.OpenRequests(emptyList())
    }
}
