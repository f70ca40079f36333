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

    private fun start(
        name: String,
        failureDomain: String = "north",
        incarnation: Long = 1,
        seed: TestInstance? = null,
    ): TestInstance =
        TestInstance(name, failureDomain, incarnation, seeds = listOfNotNull(seed?.network?.peerPort)).opened()

    private fun startPair(): Pair<TestInstance, TestInstance> {
        val first = start("e1")
        val second = start("e2", seed = first)
        eventually("they are peers of each other") { first.hasPeer(second) && second.hasPeer(first) }
        return first to second
    }

    /** Guards against a request that is handled by the instance that receives it instead of its home. */
    @Test
    fun `a request is answered by its home, whichever instance it reaches`() {
        val (home, other) = startPair()
        val submission = home.submission()
        other.forward(submission) shouldBe "e1 ran $submission"
        home.handled.single().body.decodeToString() shouldBe "{}"
    }

    /** Guards against a caller that waits forever for a home that does not answer. */
    @Test
    fun `forwarding to a home that does not answer fails at the deadline`() {
        val (home, other) = startPair()
        home.handler = HomeHandler { CompletableFuture() }
        val started = TimeSource.Monotonic.markNow()
        other.forward(home.submission(), timeout = 300.milliseconds) shouldContain "DEADLINE"
        // The bound is far above the timeout: it only distinguishes an answer at the deadline from none.
        (started.elapsedNow() < 10.seconds) shouldBe true
    }

    /** Guards against a false "not run" about a request that reached its home before the home was closed. */
    @Test
    fun `a home that is stopped while it handles a request makes it fail as may have run`() {
        val (home, other) = startPair()
        home.handler = HomeHandler { CompletableFuture() }
        val submission = home.submission()
        val reply = CompletableFuture.supplyAsync { other.forward(submission, timeout = 20.seconds) }
        eventually("the request is at its home") { home.handled.isNotEmpty() }
        home.close()
        reply.join() shouldContain "failed mayHaveRun"
        other.forward(submission) shouldContain "failed mayHaveRun"
    }

    /** Guards against a caller that waits forever for a host that accepts connections and never sends a byte. */
    @Test
    fun `forwarding to a home that never sends a byte fails at the deadline`() {
        ServerSocket(0, 50, InetAddress.getLoopbackAddress()).use { listener ->
            val platform = FakePlatform().opened()
            platform.listed =
                listOf(ListedInstance("e9", "entry", "north", "127.0.0.1", listener.localPort, incarnation = 1))
            val other = TestInstance("e1", platform = platform.settings).opened()
            eventually("the list is read") { other.network.peers().isNotEmpty() }
            val submission = checkNotNull(SubmissionId.parseOrNull("north.e9.1.1/1"))
            other.forward(submission, timeout = 400.milliseconds) shouldContain "failed mayHaveRun"
            eventually("the peer counts as unreachable") { !other.network.peers().single().reachable }
        }
    }

    /** Guards against a peer that stays unreachable because calls keep using an unresponsive connection. */
    @Test
    fun `an unresponsive connection is replaced by a new one`() {
        val peer = start("e1")
        CountingProxy(peer.network.peerPort).opened().let { proxy ->
            val client = PeerClient(PeerClient.factory(PeerSettings()).opened(), silentAfter = 500.milliseconds)
            val address = PeerAddress("127.0.0.1", proxy.port)
            fun isAnswered(): Boolean {
                val request = Heartbeat(member("e2"), 0).toMessage()
                return client.heartbeat(address, request, 400.milliseconds).handle { _, cause -> cause == null }.join()
            }
            eventually("the first heartbeat is answered") { isAnswered() }
            proxy.stallOpenConnections()
            isAnswered() shouldBe false
            eventually("a heartbeat is answered on a new connection") { isAnswered() }
        }
    }

    private fun member(name: String) =
        EntryMember(InstanceId(name), FailureDomainId("north"), Incarnation(1), "127.0.0.1", 21_990)

    /** Guards against a restarted home that runs a submission again which its previous incarnation has run. */
    @Test
    fun `a submission of an earlier incarnation of its home fails without reaching the new one`() {
        val (first, second) = startPair()
        val submission = second.submission()
        second.close()
        val restarted = start("e2", incarnation = 2, seed = first)
        eventually("the restart is known") { first.hasPeer(restarted) }
        first.forward(submission) shouldContain "HOME_LOST"
        restarted.handled.shouldBeEmpty()
    }

    /** Guards against a misrouted request that is handled by an instance without the records of its home. */
    @Test
    fun `an instance fails a forwarded request if it is not the home and has no records of it`() {
        val (first, second) = startPair()
        val submission = checkNotNull(SubmissionId.parseOrNull("north.e2.2.1/1"))
        // The ticket has a later incarnation than the known one, so the request is sent.
        first.forward(submission) shouldContain "HOME_LOST"
        second.handled.shouldBeEmpty()
    }

    /** Guards against answers lost when their home stops, and against a successor in another failure domain. */
    @Test
    fun `a stopped home's records are replayed by a successor in its own failure domain`() {
        val first = start("e1", "north")
        val south = start("e2", "south", seed = first)
        val north = start("e3", "north", seed = first)
        val stopping = start("e4", "north", seed = first)
        eventually("all have the stopping one as a peer") { listOf(first, south, north).all { it.hasPeer(stopping) } }
        eventually("it has all as peers") { stopping.network.peers().size == 3 }
        val submission = stopping.submission()
        stopping.registry.begin(submission, CallerId("router"), 5) shouldBe Lookup.New
        stopping.registry.end(submission, Answer.Complete(List(110) { "x".repeat(10_000) }))
        stopping.registry.seal()
        first.close()
        val successor = checkNotNull(stopping.network.handOver(stopping.registry.export()).join())
        successor.instance shouldBe north.home.instance
        stopping.close()
        val lookup = north.successors.lookup(submission, CallerId("router"), 5)
        lookup shouldBe Lookup.Answered(Answer.Complete(List(110) { "x".repeat(10_000) }))
        eventually("the request reaches the successor") { south.forward(submission) == "e3 ran $submission" }
        south.forward(submission) shouldNotContain "failed"
    }

    /** Guards against instances that keep starting tasks on a backend server which another instance found leaving. */
    @Test
    fun `a leaving backend server found by one instance is reported to the engines of all`() {
        val platform = FakePlatform().opened()
        platform.listed =
            listOf(ListedInstance("b1", "backend", "north", "127.0.0.1", 9_000, slots = 8, incarnation = 1))
        val instances = List(6) { TestInstance("e$it", "zone${it % 3}", platform = platform.settings).opened() }
        platform.listed += instances.map {
            ListedInstance(
                it.home.instance.value,
                "entry",
                it.home.failureDomain.value,
                "127.0.0.1",
                it.network.peerPort,
            )
        }
        eventually("all have the list") {
            instances.all { it.network.backendAddresses.addressOf(BackendId("b1")) != null }
        }
        instances.first().network.backendReplied(BackendId("b1"), 1, isLeaving = true)
        val leaving = Input.BackendLeaving(BackendId("b1"))
        eventually("all engines are notified") { instances.all { leaving in it.inputs } }
        platform.isDown = true
        instances.first().network.backendAddresses.addressOf(BackendId("b1")) shouldBe
            BackendAddress(BackendId("b1"), "127.0.0.1", 9_000)
    }

    /** Guards against unused shares that are never lent, and against a lender that keeps using a share it lent. */
    @Test
    fun `unused quota shares are lent to the instance with demand`() {
        val (first, second) = startPair()
        val team = TeamId("imaging")
        listOf(first, second).forEach { it.network.offerRules(RulesText(1, "quota 400")) }
        eventually("the full share is available some time after the start") { share(first, team) == 100.0 }
        eventually("share is lent") {
            second.network.recordDemand(CallerId("imaging"), 200)
            share(second, team) > 110.0
        }
        eventually("the lender's share is reduced") { share(first, team) < 100.0 }
    }

    private fun share(instance: TestInstance, team: TeamId): Double =
        instance.inputs.filterIsInstance<Input.SharesChanged>().lastOrNull()?.startsPerSecond?.get(team) ?: 0.0
}
