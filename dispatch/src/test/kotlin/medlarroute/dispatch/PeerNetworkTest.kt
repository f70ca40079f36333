package medlarroute.dispatch

import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.nio.NioSocketChannel
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import java.net.ServerSocket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

/** Peers on loopback sockets, with a clock and ticks that the test controls. */
class PeerNetworkTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val clock = TestTimeSource()

    private inner class Peer(name: String, number: Long, failureDomain: String = "d") : PeerListener {
        val member = PeerMember(name, failureDomain, "127.0.0.1", ServerSocket(0).use { it.localPort }, number)
        val received = CopyOnWriteArrayList<Pair<String, PeerMessage>>()
        val events = CopyOnWriteArrayList<String>()
        var heartbeat = PeerMessage.Heartbeat()
        var partners = emptySet<String>()
        val network = PeerNetwork({ member }, PeerNetworkSettings(), group, clock, this, { part, event, fields ->
            events += "$part $event ${fields.joinToString(" ")}"
        }).also { it.listen(member.host, member.port) }

        override fun onMessage(peer: PeerMember, message: PeerMessage) {
            received += peer.instance to message
        }

        override fun onConnected(peer: PeerMember) = Unit

        override fun heartbeat(): PeerMessage.Heartbeat = heartbeat

        var openRequests = emptyMap<String, List<Long>>()

        override fun openRequests(): Map<String, List<Long>> = openRequests

        override fun partners(): Set<String> = partners

        fun heartbeatsFrom(peer: Peer) = received.count { (from, message) ->
            from == peer.member.instance && message is PeerMessage.Heartbeat
        }

        fun stateOf(peer: Peer) = network.views().single { it.member.instance == peer.member.instance }.state
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

    /**
     * Advances the clock by [ticks] of [tickMs], by default heartbeat intervals; [peers] receive each other's messages
     * before the next one.
     */
    private fun advance(
        ticks: Int,
        vararg peers: Peer,
        tickMs: Long = PeerNetworkSettings().heartbeatIntervalMs,
    ) = repeat(ticks) {
        onLoop {
            clock += tickMs.milliseconds
            peers.forEach { it.network.tick() }
        }
        // When the probes have arrived, all messages sent before them have arrived, too. Unlike a message to one peer,
        // a broadcast does not change the heartbeats.
        val counts = peers.map { it.received.size }
        onLoop { peers.forEach { it.network.broadcast(PROBE) } }
        await {
            peers.withIndex().all { (index, peer) ->
                peer.received.drop(counts[index]).count { it.second == PROBE } >= peers.size - 1
            }
        }
    }

    private fun connect(a: Peer, b: Peer, others: Int = 0) {
        val unreachable = List(others) { PeerMember("x$it", "d", "127.0.0.1", 1, 100L + it) }
        onLoop {
            a.network.setMembers(unreachable + b.member)
            b.network.setMembers(unreachable + a.member)
            clock += 1_000.milliseconds
            a.network.tick()
        }
        await { a.network.isAlive("b") && b.network.isAlive("a") }
    }

    @Test
    fun `in a small deployment every instance sends a heartbeat each interval`() {
        val a = Peer("a", 1)
        val b = Peer("b", 2)
        connect(a, b)
        val before = b.heartbeatsFrom(a)
        advance(ticks = 10, a, b)
        b.heartbeatsFrom(a) - before shouldBeInRange 10..11
    }

    /** Guards against a tick that fails, after which the other connections of a silent peer are not reset. */
    @Test
    fun `a connection that is closed already may be reset`() {
        val channel = NioSocketChannel()
        group.register(channel).get(WAIT_S, TimeUnit.SECONDS)
        onLoop { channel.close() }
        onLoop { resetConnection(channel) }
        channel.isOpen shouldBe false
    }

    /** Guards against leases that are extended for an instance whose messages are late or which has heard nothing. */
    @Test
    fun `a renewal tells the owner since when the instance may have moved its requests`() {
        val a = Peer("a", 1)
        val b = Peer("b", 2)
        connect(a, b)
        b.openRequests = mapOf("a" to listOf(7L))
        advance(ticks = 4, a, b)
        val renewal = onLoop { a.received.map { it.second } }
            .filterIsInstance<PeerMessage.Heartbeat>().last().renewal.shouldNotBeNull()
        renewal.requests shouldBe listOf(7L)
        val ageMs = onLoop { a.network.ageMsOrNull(renewal.heardAtMs) }.shouldNotBeNull()
        ageMs.toInt() shouldBeInRange 0..200
        onLoop { b.network.ageMsOrNull(renewal.heardAtMs) }.shouldBeNull()
        onLoop { clock += 500.milliseconds }
        onLoop { a.network.ageMsOrNull(renewal.heardAtMs) } shouldBe ageMs + 500
    }

    /** Guards against a new owner that takes a live one for dead, since it was suspended itself and heard nothing. */
    @Test
    fun `the silence of a peer does not count while the instance was suspended`() {
        val a = Peer("a", 1)
        val b = Peer("b", 2)
        connect(a, b)
        advance(ticks = 4, a, b)
        onLoop { clock += 2_000.milliseconds }
        onLoop { a.network.silenceMs("b") } shouldBe 0
        onLoop { clock += 200.milliseconds }
        onLoop { a.network.silenceMs("b") } shouldBe 200
    }

    /** Guards against a job that a distant owner starts only with the next renewal that is due. */
    @Test
    fun `a heartbeat after a long pause is answered at once with a renewal`() {
        val a = Peer("a", 1)
        val b = Peer("b", 2)
        connect(a, b)
        b.openRequests = mapOf("a" to listOf(7L))
        onLoop { clock += 1_000.milliseconds }
        onLoop { a.network.sendHeartbeatNow("b") }
        await { a.received.any { (it.second as? PeerMessage.Heartbeat)?.renewal != null } }
    }

    /**
     * Guards against followers that send as many heartbeats as owners. Most instances of a large deployment are
     * followers: they own nothing.
     */
    @Test
    fun `in a large deployment an instance that owns nothing sends heartbeats half as often`() {
        val owner = Peer("a", 1).apply { heartbeat = heartbeat.copy(owned = mapOf("d" to 1L)) }
        val follower = Peer("b", 2)
        connect(owner, follower, others = 13)
        val fromFollower = owner.heartbeatsFrom(follower)
        val fromOwner = follower.heartbeatsFrom(owner)
        advance(ticks = 10, owner, follower)
        owner.heartbeatsFrom(follower) - fromFollower shouldBeInRange 5..6
        follower.heartbeatsFrom(owner) - fromOwner shouldBeInRange 10..11
        owner.stateOf(follower) shouldBe PeerState.ALIVE
    }

    /** Guards against heartbeats twice as often as announced, since a real timer is always a little late. */
    @Test
    fun `ticks that are slightly late do not double the heartbeats of a follower`() {
        val owner = Peer("a", 1).apply { heartbeat = heartbeat.copy(owned = mapOf("d" to 1L)) }
        val follower = Peer("b", 2)
        connect(owner, follower, others = 13)
        val fromFollower = owner.heartbeatsFrom(follower)
        advance(ticks = 10, owner, follower, tickMs = LATE_TICK_MS)
        owner.heartbeatsFrom(follower) - fromFollower shouldBeInRange 5..6
        owner.stateOf(follower) shouldBe PeerState.ALIVE
        // A partner needs a recent renewal in each interval.
        onLoop { follower.partners = setOf("a") }
        val fromPartner = owner.heartbeatsFrom(follower)
        advance(ticks = 10, owner, follower, tickMs = LATE_TICK_MS)
        owner.heartbeatsFrom(follower) - fromPartner shouldBeInRange 9..11
    }

    /**
     * Guards against heartbeats whose number at an owner grows with the whole deployment, not only with its failure
     * domain.
     */
    @Test
    fun `in a large deployment an owner and a follower of another failure domain send one heartbeat a second`() {
        val owner = Peer("a", 1).apply { heartbeat = heartbeat.copy(owned = mapOf("d" to 1L)) }
        val follower = Peer("b", 2, failureDomain = "e")
        connect(owner, follower, others = 13)
        advance(ticks = 10, owner, follower)
        val fromFollower = owner.heartbeatsFrom(follower)
        val fromOwner = follower.heartbeatsFrom(owner)
        advance(ticks = 20, owner, follower)
        owner.heartbeatsFrom(follower) - fromFollower shouldBeInRange 2..3
        follower.heartbeatsFrom(owner) - fromOwner shouldBeInRange 2..3
        owner.stateOf(follower) shouldBe PeerState.ALIVE
        follower.stateOf(owner) shouldBe PeerState.ALIVE
    }

    /**
     * Guards against an owner that most instances never connect to, since it is none of their preferred candidates. It
     * kept four of six failure domains, and their callers' jobs went to the owner of another one.
     */
    @Test
    fun `in a large deployment a follower connects to an owner of which another one reports the load`() {
        val preferred = Peer("a", 1)
        val owner = Peer("z", 200).apply { heartbeat = heartbeat.copy(owned = mapOf("d" to 1L)) }
        val follower = Peer("b", 2, failureDomain = "e")
        connect(preferred, follower, others = 13)
        onLoop { follower.network.addMember(owner.member) }
        advance(ticks = 5, preferred, follower)
        follower.stateOf(owner) shouldBe PeerState.SILENT
        preferred.heartbeat = PeerMessage.Heartbeat(owned = mapOf("e" to 1L), ownerLoads = mapOf("z" to 10))
        advance(ticks = 5, preferred, follower)
        await { follower.network.isAlive("z") && owner.network.isAlive("b") }
    }

    /** Guards against runs of a lost instance that continue until a heartbeat of the long interval is overdue. */
    @Test
    fun `an instance that submits a job to a distant owner counts as silent as soon as any other`() {
        val owner = Peer("a", 1).apply { heartbeat = heartbeat.copy(owned = mapOf("d" to 1L)) }
        val follower = Peer("b", 2, failureDomain = "e")
        connect(owner, follower, others = 13)
        advance(ticks = 10, owner, follower)
        advance(ticks = 12, owner, follower)
        val probes = owner.received.count { it.second == PROBE }
        onLoop { follower.network.send("a", PROBE) }
        await { owner.received.count { it.second == PROBE } > probes }
        // The follower, whose connection is reset, dials again at once.
        val state = onLoop {
            clock += SILENT_FOLLOWER_MS.milliseconds
            owner.network.tick()
            owner.stateOf(follower)
        }
        state shouldBe PeerState.SILENT
    }

    /** Guards against partners that count as silent because the interval of the heartbeats has become longer. */
    @Test
    fun `the interval of the heartbeats to a former partner grows without a gap`() {
        val owner = Peer("a", 1).apply { heartbeat = heartbeat.copy(owned = mapOf("d" to 1L)) }
        val follower = Peer("b", 2, failureDomain = "e")
        connect(owner, follower, others = 13)
        onLoop { follower.partners = setOf("a") }
        advance(ticks = 10, owner, follower)
        val before = owner.heartbeatsFrom(follower)
        onLoop {
            follower.partners = emptySet()
            repeat(SILENT_FOLLOWER_TICKS) {
                clock += PeerNetworkSettings().heartbeatIntervalMs.milliseconds
                follower.network.tick()
            }
        }
        await { owner.heartbeatsFrom(follower) > before }
        val last = owner.received.map { it.second }.filterIsInstance<PeerMessage.Heartbeat>().last()
        last.intervalMs shouldBe PeerNetworkSettings().distantHeartbeatIntervalMs
    }

    /**
     * Guards against instances that do not see each other because the preferred candidates of their failure domain are
     * gone. Each of them then takes itself for the only candidate.
     */
    @Test
    fun `in a large deployment the remaining instances of a failure domain see each other`() {
        val a = Peer("a", 201)
        val b = Peer("b", 202)
        val gone = List(13) { PeerMember("x$it", "d", "127.0.0.1", 1, 1L + it) }
        onLoop {
            a.network.setMembers(gone + b.member)
            b.network.setMembers(gone + a.member)
            clock += 1_000.milliseconds
            a.network.tick()
        }
        await { a.network.isAlive("b") && b.network.isAlive("a") }
    }

    @Test
    fun `a changed heartbeat is sent with the next tick`() {
        val a = Peer("a", 1)
        val b = Peer("b", 2)
        connect(a, b, others = 13)
        advance(ticks = 1, a, b)
        onLoop { b.heartbeat = b.heartbeat.copy(leaving = true) }
        advance(ticks = 1, a, b)
        a.received.map { it.second }.filterIsInstance<PeerMessage.Heartbeat>().map { it.leaving } shouldContain true
    }

    /** Guards against detecting a silent owner as late as a follower, which sends heartbeats half as often. */
    @Test
    fun `an owner counts as silent sooner than a follower`() {
        val owner = Peer("a", 1).apply { heartbeat = heartbeat.copy(owned = mapOf("d" to 1L)) }
        val follower = Peer("b", 2)
        connect(owner, follower, others = 13)
        advance(ticks = 1, owner, follower)
        onLoop {
            clock += 450.milliseconds
            owner.network.tick()
            follower.network.tick()
        }
        onLoop { follower.events.toList() }.any { "life peer a" in it && "is SILENT" in it } shouldBe true
        onLoop { owner.events.toList() }.any { "life peer b" in it && "is SILENT" in it } shouldBe false
    }

    /**
     * Guards against a job that is submitted to an unreachable owner, sent elsewhere, and delivered seconds later when
     * the partition ends: the network holds the bytes of an open connection, but not of a reset one.
     */
    @Test
    fun `connections to a silent peer are reset`() {
        val a = Peer("a", 1)
        val b = Peer("b", 2)
        connect(a, b)
        onLoop {
            clock += SILENT_FOLLOWER_MS.milliseconds
            a.network.tick()
        }
        await { b.events.any { "connection-failed" in it && "reset" in it } }
        // A new connection is opened at once.
        await {
            clock += PeerNetworkSettings().heartbeatIntervalMs.milliseconds
            a.network.tick()
            b.network.tick()
            a.network.isAlive("b")
        }
    }

    private companion object {
        /** A timer of 100 ms that is late by the time of its action and by the rounding to milliseconds. */
        const val LATE_TICK_MS = 102L
        const val WAIT_S = 20L

        /** More than an instance that owns nothing may stay silent, and less than an instance of the long interval. */
        const val SILENT_FOLLOWER_MS = 800L

        /** Ticks within which an instance that owns nothing must send a heartbeat before it counts as silent. */
        const val SILENT_FOLLOWER_TICKS = 4
        val PROBE = PeerMessage.OpenRequests(emptyList())
    }
}
