package medlarroute.core

import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

class MembershipTest {
    private val clock = TestTimeSource()
    private val north = member("e1", "north")
    private val membership = Membership(north, PeerSettings(), 15.minutes, clock, Random(1))

    @Test
    fun `an empty or failed fetch removes nothing, and one short fetch removes nothing`() {
        membership.listFetched(list(listOf(member("e2", "south")), listOf(backend("b1"), backend("b2"))))
        membership.listFetched(list(emptyList(), emptyList())).shouldBeEmpty()
        membership.listUnchanged().shouldBeEmpty()
        membership.listFetched(list(emptyList(), listOf(backend("b1")))).shouldBeEmpty()
        membership.peers().map { it.member.instance } shouldContainExactly listOf(InstanceId("e2"))
        membership.listUnchanged() shouldContainExactly listOf(Input.BackendRemoved(BackendId("b2")))
    }

    @Test
    fun `a lagging list does not make a leaving backend server live again`() {
        val live = backend("b1", incarnation = 3)
        membership.listFetched(list(emptyList(), listOf(live)))
        membership.backendReplied(BackendId("b1"), 3, isLeaving = true) shouldContainExactly
            listOf(Input.BackendLeaving(BackendId("b1")))
        membership.listFetched(list(emptyList(), listOf(live))).shouldBeEmpty()
        membership.isLeaving(BackendId("b1")) shouldBe true
        val restarted = backend("b1", incarnation = 4)
        membership.listFetched(list(emptyList(), listOf(restarted))) shouldContainExactly
            listOf(Input.BackendServing(restarted.server))
        membership.isLeaving(BackendId("b1")) shouldBe false
    }

    @Test
    fun `without incarnations in the list a backend server returns once the list has shown it leaving`() {
        val live = backend("b1")
        membership.listFetched(list(emptyList(), listOf(live)))
        membership.backendReplied(BackendId("b1"), 3, isLeaving = true)
        membership.listFetched(list(emptyList(), listOf(live))).shouldBeEmpty()
        membership.listFetched(list(emptyList(), listOf(live.copy(leaving = true)))).shouldBeEmpty()
        membership.isLeaving(BackendId("b1")) shouldBe true
        clock += 1.seconds
        membership.listFetched(list(emptyList(), listOf(live))) shouldContainExactly
            listOf(Input.BackendServing(live.server))
        // A notice from before the return is about the earlier incarnation.
        clock += 1.seconds
        val old = LeavingNotice(BackendId("b1"), 3, 5.seconds)
        membership.heartbeatReceived(Heartbeat(member("e2", "south"), 0, leavingBackends = listOf(old))).shouldBeEmpty()
    }

    @Test
    fun `a notice about a backend server that the list does not have yet holds once it is listed`() {
        val notice = LeavingNotice(BackendId("b9"), 2, 1.seconds)
        membership.heartbeatReceived(Heartbeat(member("e2", "south"), 0, leavingBackends = listOf(notice)))
        val listed = backend("b9", incarnation = 2)
        membership.listFetched(list(emptyList(), listOf(listed))) shouldContainExactly
            listOf(Input.BackendServing(listed.server), Input.BackendLeaving(BackendId("b9")))
    }

    @Test
    fun `a failing peer becomes unreachable but is not considered dead`() {
        membership.heartbeatReceived(Heartbeat(member("e2", "south"), 7))
        membership.contactFailed(InstanceId("e2"))
        membership.peers().single().reachable shouldBe true
        clock += 6.seconds
        membership.peers().single().reachable shouldBe false
        membership.route(member("e2", "south").home).shouldBeInstanceOf<HomeRoute.Home>()
        membership.heartbeatReceived(Heartbeat(member("e2", "south", incarnation = 2), 7))
        membership.route(member("e2", "south").home).shouldBeInstanceOf<HomeRoute.Lost>()
        membership.peers().single().reachable shouldBe true
    }

    @Test
    fun `an instance that the list shows as leaving is no successor candidate even if its heartbeat does not say so`() {
        membership.listFetched(list(listOf(member("e2", "north").copy(leaving = true, sequence = 0)), emptyList()))
        membership.heartbeatReceived(Heartbeat(member("e2", "north"), 1))
        membership.successorCandidates().shouldBeEmpty()
    }

    @Test
    fun `requests for a stopped home go to the successor that still runs`() {
        val home = member("e2", "north")
        membership.heartbeatReceived(Heartbeat(home, 1))
        membership.heartbeatReceived(Heartbeat(member("e3", "north"), 1, successors = listOf(successor("e2", "e3"))))
        membership.route(home.home) shouldBe HomeRoute.Successor(member("e3", "north"))
        // The successor is restarted and has lost the records; a second copy exists.
        membership.heartbeatReceived(Heartbeat(member("e3", "north", incarnation = 2), 1))
        membership.heartbeatReceived(Heartbeat(member("e4", "south"), 1, successors = listOf(successor("e2", "e4"))))
        membership.route(home.home) shouldBe HomeRoute.Successor(member("e4", "south"))
        membership.successorFound(successor("e2", "e1"))
        membership.route(home.home) shouldBe HomeRoute.Self
    }

    @Test
    fun `a gossiped entry does not bring back an instance that the list has dropped`() {
        membership.listFetched(list(listOf(member("e2", "south"), member("e3", "south")), emptyList()))
        val shorter = list(listOf(member("e3", "south")), emptyList())
        membership.listFetched(shorter)
        membership.listFetched(shorter)
        membership.heartbeatReceived(Heartbeat(member("e3", "south"), 1, members = listOf(member("e2", "south"))))
        membership.peers().map { it.member.instance } shouldContainExactly listOf(InstanceId("e3"))
        membership.heartbeatReceived(Heartbeat(member("e2", "south"), 1))
        membership.peers().map { it.member.instance } shouldContain InstanceId("e2")
    }

    @Test
    fun `every failure domain and every peer is contacted within a bounded number of rounds`() {
        val peers = (0 until 31).map { member("p$it", "zone${it % 4}") }
        membership.listFetched(list(peers, emptyList()))
        repeat(5) {
            val rounds = (1..24).map { membership.heartbeatTargets() }
            rounds.forEach { it.size shouldBe 3 }
            rounds.windowed(2).forEach { pair -> pair.flatten().map { it.failureDomain }.toSet().size shouldBe 4 }
            rounds.flatten().toSet().size shouldBe 31
        }
    }

    @Test
    fun `at most one unreachable peer is contacted in a round`() {
        val peers = (0 until 8).map { member("p$it", "zone${it % 2}") }
        membership.listFetched(list(peers, emptyList()))
        peers.filter { it.failureDomain.value == "zone1" }.forEach { membership.contactFailed(it.instance) }
        clock += 10.seconds
        repeat(20) { membership.heartbeatTargets().count { it.failureDomain.value == "zone1" } shouldBe 1 }
    }

    @Test
    fun `a heartbeat stays within its size and no kind of entry crowds out the others`() {
        membership.listFetched(list((0 until 31).map { member("p$it", "zone${it % 4}") }, emptyList()))
        repeat(200) { membership.backendReplied(BackendId("backend-$it"), 1_700_000_000_000, isLeaving = true) }
        repeat(20) { membership.successorFound(successor("h$it", "p1")) }
        val heartbeat = membership.heartbeat(12)
        HeartbeatSize.of(heartbeat) shouldBeLessThanOrEqualTo 240
        heartbeat.leavingBackends.isNotEmpty() shouldBe true
        heartbeat.successors.isNotEmpty() shouldBe true
        heartbeat.members.isNotEmpty() shouldBe true
    }

    @Test
    fun `a leaving backend server is known to all connected instances within 5 rounds`() = runBlocking<Unit> {
        checkAll(PropTestConfig(seed = 1, iterations = 40), Arb.long(), Arb.int(2..32)) { seed, size ->
            val cluster = TestCluster(seed, size, lossRatio = 0.0)
            cluster.members.first().backendReplied(BackendId("b1"), 1, isLeaving = true)
            // At the target size, one pass over all peers takes 11 rounds. The bound of 5 rounds comes from invariant
            // I6: 5 s, at one round a second.
            var rounds = 0
            while (!cluster.members.all { it.isLeaving(BackendId("b1")) }) {
                cluster.round()
                rounds++
            }
            rounds shouldBeLessThanOrEqualTo 5
        }
    }

    @Test
    fun `all instances converge, and nothing reverts, under loss, reordering and duplication`() = runBlocking<Unit> {
        checkAll(PropTestConfig(seed = 1, iterations = 30), Arb.long(), Arb.int(3..16)) { seed, size ->
            val cluster = TestCluster(seed, size, lossRatio = 0.4)
            repeat(60) {
                cluster.change()
                cluster.round()
                cluster.checkNothingReverts()
            }
            cluster.lossRatio = 0.0
            val left = cluster.recentlyLeaving()
            repeat(20) { cluster.round() }
            cluster.members.forEach { member ->
                left.forEach { member.isLeaving(it) shouldBe true }
                member.peers().map { it.member }.toSet() shouldBe
                    cluster.members.map { it.self }.filter { it.instance != member.self.instance }.toSet()
            }
        }
    }
}

/** Instances that exchange heartbeats over a network that loses, duplicates and delays messages. */
private class TestCluster(seed: Long, size: Int, var lossRatio: Double) {
    private val random = Random(seed)
    private val clock = TestTimeSource()
    private val delayed = ArrayDeque<Pair<InstanceId, Heartbeat>>()
    private val incarnations = HashMap<Pair<InstanceId, InstanceId>, Incarnation>()
    private val leavingSeen = HashSet<Triple<InstanceId, InstanceId, Incarnation>>()
    private var listed = (0 until size).map { member("e$it", "zone${it % 4}") }
    val members = listed.mapTo(ArrayList()) { start(it) }
    private val leavingSince = HashMap<BackendId, Int>()
    private var round = 0

    private fun start(self: EntryMember): Membership =
        Membership(self, PeerSettings(), 15.minutes, clock, random).also { it.listFetched(list(listed, emptyList())) }

    fun round() {
        round++
        clock += 1_000.milliseconds
        members.forEach { sender -> sender.heartbeatTargets().forEach { exchange(sender, it.instance) } }
        repeat(delayed.size) { index ->
            val (to, heartbeat) = delayed.removeFirst()
            if (index % 2 == 0) deliver(to, heartbeat) else delayed.addLast(to to heartbeat)
        }
    }

    private fun exchange(sender: Membership, to: InstanceId) {
        send(to, sender.heartbeat(1))
        members.firstOrNull { it.self.instance == to }?.let { send(sender.self.instance, it.heartbeat(1)) }
    }

    private fun send(to: InstanceId, heartbeat: Heartbeat) {
        if (random.nextDouble() < lossRatio) return
        deliver(to, heartbeat)
        if (lossRatio > 0 && random.nextInt(4) == 0) delayed.addLast(to to heartbeat)
    }

    private fun deliver(to: InstanceId, heartbeat: Heartbeat) {
        members.firstOrNull { it.self.instance == to }?.heartbeatReceived(heartbeat)
    }

    /** Restarts an instance, marks one as leaving, or makes a backend server leave. */
    fun change() {
        val index = random.nextInt(members.size)
        when (random.nextInt(8)) {
            0 -> {
                val self = members[index].self
                members[index] =
                    start(member(self.instance.value, self.failureDomain.value, self.incarnation.value + 1))
                incarnations.keys.removeIf { it.first == self.instance }
                leavingSeen.removeIf { it.first == self.instance }
            }

            1 -> members[index].markLeaving()

            2 -> BackendId("b${random.nextInt(1_000)}").let {
                members[index].backendReplied(it, 1, isLeaving = true)
                leavingSince[it] = round
            }
        }
    }

    /**
     * Leaving backend servers that a live instance knows and still sends. An observer that restarts before it has sent
     * its notice loses it.
     */
    fun recentlyLeaving(): List<BackendId> =
        leavingSince.filter { (id, at) -> round - at < 30 && members.any { it.isLeaving(id) } }.keys.toList()

    fun checkNothingReverts() {
        members.forEach { observer ->
            observer.peers().forEach { peer ->
                val key = observer.self.instance to peer.member.instance
                val before = incarnations[key]
                if (before != null) before shouldBeLessThanOrEqualTo peer.member.incarnation
                incarnations[key] = peer.member.incarnation
                val incarnation = Triple(observer.self.instance, peer.member.instance, peer.member.incarnation)
                if (incarnation in leavingSeen) peer.member.leaving shouldBe true
                if (peer.member.leaving) leavingSeen += incarnation
            }
        }
    }
}

internal fun member(name: String, failureDomain: String, incarnation: Long = 1): EntryMember = EntryMember(
    InstanceId(name),
    FailureDomainId(failureDomain),
    Incarnation(incarnation),
    "10.0.0.1",
    8_082,
    sequence = 1,
)

private fun backend(name: String, incarnation: Long = 0): ListedBackend =
    ListedBackend(BackendServer(BackendId(name), FailureDomainId("north"), 8), "10.0.1.1", 9_000, false, incarnation)

private fun list(entries: List<EntryMember>, backends: List<ListedBackend>) = InstanceList(entries, backends)

private fun successor(home: String, successor: String): SuccessorNotice =
    SuccessorNotice(InstanceId(home), Incarnation(1), InstanceId(successor), Incarnation(1), Duration.ZERO)
