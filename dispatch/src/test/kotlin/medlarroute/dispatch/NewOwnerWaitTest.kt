package medlarroute.dispatch

import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test

/** A new owner waits until each other owner has told it of all jobs that are open there. */
class NewOwnerWaitTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val sim = SimulatedBackends()
    private val first = sim.owners.first()
    private val second = sim.addOwner()
    private val request = sim.job("j", tasks = 1, estimateMs = 300)

    init {
        sim.sharesOpenJobs = true
        sim.workMs = { 5_000 }
        sim.add("near", domain = "d1")
        sim.add("far", domain = "d2")
        listOf("d1" to first, "d2" to second).forEach { (domain, owner) ->
            sim.configure(owner, SimulatedBackends.queue())
            owner.dispatcher.acquire(domain, 1)
            owner.dispatcher.updateBackends(sim.backends.values.map { it.info })
        }
        sim.run(untilMs = 100)
    }

    @AfterEach
    fun stop() {
        group.shutdownGracefully()
    }

    private fun submit(owner: SimulatedBackends.Owner, job: JobRequest, instance: String) =
        owner.dispatcher.submit(job, JobOrigin(instance, 1), timeoutMs = 60_000)

    /**
     * Guards against a wait that ends with any message on open jobs. The list of all of them is lost with a connection
     * that the new owner has reset, and the next message names only those whose turn it is.
     */
    @Test
    fun `a message on some open jobs does not end the wait of a new owner`() {
        sim.losesOwnerMessages = true
        submit(first, request, "i1")
        sim.run(sim.nowMs + 700)
        submit(first, sim.job("k", tasks = 1, estimateMs = 300), "i1")
        sim.run(sim.nowMs + 560)
        second.dispatcher.openJobSystem.awaitOwners(mapOf("o0" to 0L), wasReleased = true)
        first.dispatcher.openJobSystem.announceNow()
        sim.losesOwnerMessages = false
        sim.run(sim.nowMs + 100)
        submit(second, request, "i2")
        sim.run(sim.nowMs + 100)
        sim.concurrentRuns.shouldBeEmpty()
    }

    /** Guards against the same by a message on runs that remain, which names no open job. */
    @Test
    fun `a message on remaining runs does not end the wait of a new owner`() {
        second.dispatcher.openJobSystem.awaitOwners(mapOf("o0" to 0L), wasReleased = true)
        val remaining = PeerMessage.ActiveRuns(listOf(TaskKey(JobId("other"), 0, 0)))
        reportsOf(second).onReceived("o0", remaining)
        submit(second, request, "i2")
        sim.run(sim.nowMs + 300)
        sim.starts shouldBe 0
    }

    /** Guards against an owner that was paused, keeps its failure domain, and starts a job that another one runs. */
    @Test
    fun `an owner that was paused waits to be told of all jobs of the others`() {
        val peers = arrayListOf(peer(owned = emptyMap()))
        val reports = reportsOf(second, peers, owned = setOf("d1", "d2"))
        reports.onTick()
        sim.run(sim.nowMs + 500)
        reports.onTick()
        submit(second, request, "i2")
        sim.run(sim.nowMs + 200)
        // The heartbeat that tells of the other owner comes some time after the pause.
        peers[0] = peer(owned = mapOf("d1" to 1L))
        repeat(6) {
            reports.onTick()
            sim.run(sim.nowMs + 50)
        }
        sim.starts shouldBe 0
        reports.onReceived("o0", PeerMessage.ActiveRuns(OpenJobs(emptyList(), emptyList(), areAll = true)))
        sim.run(sim.nowMs + 100)
        sim.starts shouldBe 1
    }

    /** Guards against the same if the other submission is too young to be announced without being asked for. */
    @Test
    fun `an owner that is asked for its jobs names also those that have just come in`() {
        submit(first, request, "i1")
        sim.run(sim.nowMs + 50)
        first.dispatcher.openJobSystem.announceAll()
        sim.run(sim.nowMs + 50)
        second.dispatcher.openJobSystem.otherOwnerOrNull(request.id) shouldBe "o0"
    }

    private fun peer(owned: Map<String, Long>) =
        PeerView(PeerMember("o0", "d1", "127.0.0.1", 1, 2), PeerState.ALIVE, owned, leaving = false)

    private fun reportsOf(
        owner: SimulatedBackends.Owner,
        peers: List<PeerView> = emptyList(),
        owned: Set<String> = setOf("d2"),
    ): OwnerReports {
        val self = PeerMember("o1", "d2", "127.0.0.1", 1, 1)
        val selection = OwnerSelection(
            own = { PeerView(self, PeerState.ALIVE, owned.associateWith { 1L }, leaving = false) },
            peers = { peers },
            isPerDomain = { true },
            heartbeatOf = { null },
            ownLoadPercent = { 0 },
        )
        val log = EventLog { _, _, _ -> }
        val network = PeerNetwork({ self }, PeerNetworkSettings(), group, sim.clock, UnusedListener, log)
        val domainOwners = DomainOwnerTimes(sim.clock, listOf("d1"), { emptySet() }, selection, network::listeningMs)
        return OwnerReports("o1", owner.dispatcher, selection, network, domainOwners, log)
    }

    private object UnusedListener : PeerListener {
        override fun onMessage(peer: PeerMember, message: PeerMessage) = Unit

        override fun onConnected(peer: PeerMember) = Unit

        override fun heartbeat() = PeerMessage.Heartbeat()

        override fun partners(): Set<String> = emptySet()

        override fun openRequests(): Map<String, List<Long>> = emptyMap()
    }
}
