package medlarroute.server

import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import medlarroute.core.Answer
import medlarroute.core.BackendId
import medlarroute.core.CallerId
import medlarroute.core.EntryMember
import medlarroute.core.FailureDomainId
import medlarroute.core.Heartbeat
import medlarroute.core.Incarnation
import medlarroute.core.Input
import medlarroute.core.InstanceId
import medlarroute.core.Lookup
import medlarroute.core.PeerSettings
import medlarroute.core.RulesText
import medlarroute.core.SubmissionId
import medlarroute.core.TeamId
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

class PeerNetworkTest {
    private val opened = ArrayList<AutoCloseable>()

    @AfterEach
    fun close() = closeAll(opened)

    private fun <T : AutoCloseable> T.opened(): T = also { opened += it }

    private fun start(name: String, zone: String = "north", incarnation: Long = 1, seed: TestInstance? = null) =
        TestInstance(name, zone, incarnation, seeds = listOfNotNull(seed?.network?.peerPort)).opened()

    private fun pair(): Pair<TestInstance, TestInstance> {
        val first = start("e1")
        val second = start("e2", seed = first)
        eventually("both know each other") { first.knows(second) && second.knows(first) }
        return first to second
    }

    @Test
    fun `a request is answered by its home, whichever instance it reaches`() {
        val (home, other) = pair()
        val submission = home.submission()
        other.forward(submission) shouldBe "e1 ran $submission"
        home.handled.single().body.decodeToString() shouldBe "{}"
    }

    @Test
    fun `a forward to a home that does not answer ends by its deadline as failed`() {
        val (home, other) = pair()
        home.handler = HomeHandler { CompletableFuture() }
        val started = TimeSource.Monotonic.markNow()
        other.forward(home.submission(), timeout = 300.milliseconds) shouldContain "DEADLINE"
        // The bound is far above the timeout: it only tells an answer at the deadline from none.
        (started.elapsedNow() < 10.seconds) shouldBe true
    }

    @Test
    fun `a home that is stopped during a forward makes it fail and never say not run`() {
        val (home, other) = pair()
        home.handler = HomeHandler { CompletableFuture() }
        val submission = home.submission()
        val reply = CompletableFuture.supplyAsync { other.forward(submission, timeout = 20.seconds) }
        eventually("the request is at its home") { home.handled.isNotEmpty() }
        home.close()
        reply.join() shouldContain "failed mayHaveRun"
        other.forward(submission) shouldContain "failed mayHaveRun"
    }

    @Test
    fun `a forward to a home whose connections stay silent ends by its deadline`() {
        ServerSocket(0, 50, InetAddress.getLoopbackAddress()).use { silent ->
            val platform = FakePlatform().opened()
            platform.listed =
                listOf(ListedInstance("e9", "entry", "north", "127.0.0.1", silent.localPort, incarnation = 1))
            val other = TestInstance("e1", platform = platform.settings).opened()
            eventually("the list is read") { other.network.peers().isNotEmpty() }
            val submission = checkNotNull(SubmissionId.parseOrNull("north.e9.1.1/1"))
            other.forward(submission, timeout = 400.milliseconds) shouldContain "failed mayHaveRun"
            eventually("the peer counts as unreachable") { !other.network.peers().single().reachable }
        }
    }

    @Test
    fun `a connection that has gone silent is replaced by a new one`() {
        val peer = start("e1")
        CountingRelay(peer.network.peerPort).opened().let { relay ->
            val client = PeerClient(PeerClient.factory(PeerSettings()).opened(), silentAfter = 500.milliseconds)
            val address = PeerAddress("127.0.0.1", relay.port)
            fun isAnswered(): Boolean {
                val request = Heartbeat(member("e2"), 0).toMessage()
                return client.heartbeat(address, request, 400.milliseconds).handle { _, cause -> cause == null }.join()
            }
            eventually("the first heartbeat is answered") { isAnswered() }
            relay.silence()
            isAnswered() shouldBe false
            eventually("a heartbeat is answered on a new connection") { isAnswered() }
        }
    }

    private fun member(name: String) =
        EntryMember(InstanceId(name), FailureDomainId("north"), Incarnation(1), "127.0.0.1", 21_990)

    @Test
    fun `a submission of an earlier process life of its home fails without reaching the new one`() {
        val (first, second) = pair()
        val submission = second.submission()
        second.close()
        val restarted = start("e2", incarnation = 2, seed = first)
        eventually("the restart is known") { first.knows(restarted) }
        first.forward(submission) shouldContain "HOME_LOST"
        restarted.handled.shouldBeEmpty()
    }

    @Test
    fun `an instance that is asked for another home without having its records says failed`() {
        val (first, second) = pair()
        val submission = checkNotNull(SubmissionId.parseOrNull("north.e2.2.1/1"))
        // The ticket names a later process life than the one that is known, so the request is sent.
        first.forward(submission) shouldContain "HOME_LOST"
        second.handled.shouldBeEmpty()
    }

    @Test
    fun `a stopped home's records are replayed by a successor in its own failure domain`() {
        val first = start("e1", "north")
        val south = start("e2", "south", seed = first)
        val north = start("e3", "north", seed = first)
        val stopping = start("e4", "north", seed = first)
        eventually("all know the stopping one") { listOf(first, south, north).all { it.knows(stopping) } }
        eventually("it knows all") { stopping.network.peers().size == 3 }
        val submission = stopping.submission()
        stopping.registry.begin(submission, CallerId("router"), 5) shouldBe Lookup.New
        stopping.registry.end(submission, Answer.Complete(List(110) { "x".repeat(10_000) }))
        stopping.registry.seal()
        first.close()
        val successor = checkNotNull(stopping.network.handOver(stopping.registry.export()).join())
        successor.instance shouldBe north.home.instance
        stopping.close()
        val found = north.successors.lookup(submission, CallerId("router"), 5)
        found shouldBe Lookup.Answered(Answer.Complete(List(110) { "x".repeat(10_000) }))
        eventually("the request reaches the successor") { south.forward(submission) == "e3 ran $submission" }
        south.forward(submission) shouldNotContain "failed"
    }

    @Test
    fun `a leaving backend server found by one instance is known to the engines of all`() {
        val platform = FakePlatform().opened()
        platform.listed =
            listOf(ListedInstance("b1", "backend", "north", "127.0.0.1", 9_000, slots = 8, incarnation = 1))
        val fleet = List(6) { TestInstance("e$it", "zone${it % 3}", platform = platform.settings).opened() }
        platform.listed += fleet.map {
            ListedInstance(
                it.home.instance.value,
                "entry",
                it.home.failureDomain.value,
                "127.0.0.1",
                it.network.peerPort,
            )
        }
        eventually("all have the list") { fleet.all { it.network.backendAddresses.addressOf(BackendId("b1")) != null } }
        fleet.first().network.backendContact(BackendId("b1"), 1, isLeaving = true)
        val leaving = Input.BackendLeaving(BackendId("b1"))
        eventually("all engines are told") { fleet.all { leaving in it.inputs } }
        platform.isDown = true
        fleet.first().network.backendAddresses.addressOf(BackendId("b1")) shouldBe
            BackendAddress(BackendId("b1"), "127.0.0.1", 9_000)
    }

    @Test
    fun `unused quota share reaches the instance with the demand`() {
        val (first, second) = pair()
        val team = TeamId("imaging")
        listOf(first, second).forEach { it.network.offerRules(RulesText(1, "quota 400")) }
        eventually("the hold after the start is over") { share(first, team) == 100.0 }
        eventually("share is lent") {
            second.network.demanded(CallerId("imaging"), 200)
            share(second, team) > 110.0
        }
        eventually("the lender's engine has less") { share(first, team) < 100.0 }
    }

    private fun share(instance: TestInstance, team: TeamId): Double =
        instance.inputs.filterIsInstance<Input.SharesChanged>().lastOrNull()?.startsPerSecond?.get(team) ?: 0.0
}
