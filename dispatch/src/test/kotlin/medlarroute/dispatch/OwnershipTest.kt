package medlarroute.dispatch

import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.maps.shouldBeEmpty
import io.kotest.matchers.maps.shouldNotBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import medlarroute.dispatch.evacuation.EvacuatedDomains
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

/** Ownership of failure domains when instances die, freeze or are partitioned. */
class OwnershipTest {
    private val clock = TestTimeSource()
    private val rows = HashMap<String, VersionedOwner>()
    private var version = 0L
    private var storeIsUp = true

    private inner class Node(name: String, domain: String, number: Long) : OwnershipListener {
        val member = PeerMember(name, domain, name, 1, number)
        val lost = ArrayList<String>()

        /** What was still owned when each loss was reported. */
        val ownedAtLoss = ArrayList<Set<String>>()
        val store = object : FleetStore {
            override val isReachable get() = storeIsUp

            override fun register(member: PeerMember, onNumber: (Long?) -> Unit) = onNumber(1)

            override fun readOwners(onOwners: (Map<String, VersionedOwner>?) -> Unit) =
                onOwners(if (storeIsUp) rows.toMap() else null)

            override fun writeOwners(records: List<VersionedOwner>, onResult: (OwnerWriteResult) -> Unit) {
                if (!storeIsUp) return onResult(OwnerWriteResult.Unavailable)
                val stale = records.any { (rows[it.record?.failureDomain]?.version ?: 0) != it.version }
                if (stale) return onResult(OwnerWriteResult.Conflict(rows.toMap()))
                version++
                records.mapNotNull { it.record }.forEach { rows[it.failureDomain] = VersionedOwner(it, version) }
                val versions = records.mapNotNull { it.record }.associate { it.failureDomain to version }
                onResult(OwnerWriteResult.Written(versions))
            }

            override fun removeMember(member: PeerMember, onResult: (Boolean) -> Unit) = Unit

            override fun watchMembers(onMembers: (List<PeerMember>) -> Unit) = Unit

            override fun watchConfiguration(
                onConfiguration: (DispatchConfiguration) -> Unit,
                onEvacuated: (EvacuatedDomains) -> Unit,
            ) = Unit

            override fun watchBackends(enabled: Boolean, onBackends: (BackendList) -> Unit) = Unit
        }
        val ownership =
            Ownership(member, listOf("d1", "d2"), OwnershipSettings(tokenSuffix = number), clock, store, this) {
                    _,
                    _,
                    _,
                ->
            }
        var peers: List<PeerView> = emptyList()
        var state = PeerState.ALIVE

        override fun onAcquired(failureDomain: String, token: Long, wasReleased: Boolean) = Unit

        override fun onLost(failureDomain: String) {
            lost += failureDomain
            ownedAtLoss += ownership.owned.keys
        }

        fun view() =
            PeerView(member, state, ownership.owned, leaving = false, ownership.released, ownership.successors)
    }

    private val a = Node("a", "d1", number = 1)
    private val b = Node("b", "d2", number = 2)
    private val c = Node("c", "d2", number = 3)

    /** Ticks [nodes] every 50 ms for [forMs]; [sees] returns the peers as seen by a node. */
    private fun run(forMs: Long, nodes: List<Node> = listOf(a, b, c), sees: (Node) -> List<PeerView>) {
        repeat((forMs / TICK_MS).toInt()) {
            clock += TICK_MS.milliseconds
            nodes.forEach { it.ownership.tick(sees(it)) { true } }
        }
    }

    private fun all(node: Node) = listOf(a, b, c).filter { it !== node }.map { it.view() }

    private fun seen(node: Node, state: PeerState) = node.view().copy(state = state)

    @Test
    fun `the most senior instance owns all failure domains`() {
        run(500, sees = ::all)
        a.ownership.owned.keys shouldBe setOf("d1", "d2")
        b.ownership.owned.shouldBeEmpty()
    }

    /** Guards against a partitioned instance that takes over from an owner which still renews its records. */
    @Test
    fun `an isolated instance claims nothing while the owner renews its records`() {
        run(500, sees = ::all)
        run(5_000) { node ->
            if (node === c) listOf(seen(a, PeerState.SILENT), seen(b, PeerState.SILENT)) else all(node)
        }
        c.ownership.owned.shouldBeEmpty()
        a.lost.shouldBeEmpty()
    }

    /** Guards against a first start at which new owners wait for those of failure domains that never had one. */
    @Test
    fun `a failure domain without a record has never been owned`() {
        a.ownership.isPerDomain = true
        a.ownership.neverOwned.shouldBeEmpty()
        run(200, nodes = listOf(a)) { emptyList() }
        a.ownership.neverOwned shouldBe setOf("d2")
        b.ownership.isPerDomain = true
        run(500, nodes = listOf(a, b)) { node -> listOf(a, b).filter { it !== node }.map { it.view() } }
        b.ownership.owned.keys shouldBe setOf("d2")
        b.ownership.neverOwned.shouldBeEmpty()
    }

    /**
     * Guards against a takeover in a partition that rejects connections: a refused connection does not prove a peer
     * dead.
     */
    @Test
    fun `refused connections alone do not change the ownership`() {
        run(500, sees = ::all)
        run(5_000) { node -> if (node === c) listOf(seen(a, PeerState.DEAD), seen(b, PeerState.DEAD)) else all(node) }
        c.ownership.owned.shouldBeEmpty()
        a.lost.shouldBeEmpty()
    }

    @Test
    fun `the most senior remaining instance takes over from a dead owner with a higher token`() {
        run(500, sees = ::all)
        val before = a.ownership.owned.getValue("d1")
        run(2_000, nodes = listOf(b, c)) { node ->
            listOf(seen(a, PeerState.DEAD)) + listOf(b, c).filter { it !== node }.map { it.view() }
        }
        b.ownership.owned.keys shouldBe setOf("d1", "d2")
        (b.ownership.owned.getValue("d1") > before) shouldBe true
        c.ownership.owned.shouldBeEmpty()
    }

    /** Guards against ownership that depends on the store alone: the owner may die while the store is down. */
    @Test
    fun `without the store a connected majority replaces a silent owner in its failure domain`() {
        run(500, sees = ::all)
        storeIsUp = false
        run(4_000, nodes = listOf(b, c)) { node ->
            listOf(seen(a, PeerState.SILENT)) + listOf(b, c).filter { it !== node }.map { it.view() }
        }
        b.ownership.owned.keys shouldBe setOf("d2")
    }

    @Test
    fun `without the store an isolated instance claims nothing`() {
        run(500, sees = ::all)
        storeIsUp = false
        run(4_000, nodes = listOf(c)) { listOf(seen(a, PeerState.SILENT), seen(b, PeerState.SILENT)) }
        c.ownership.owned.shouldBeEmpty()
    }

    @Test
    fun `an owner that stops is replaced immediately`() {
        run(500, sees = ::all)
        a.ownership.leave()
        run(200, nodes = listOf(b, c)) { node ->
            listOf(a.view().copy(leaving = true)) + listOf(b, c).filter { it !== node }.map { it.view() }
        }
        b.ownership.owned.shouldNotBeEmpty()
        b.ownership.owned["d1"] shouldNotBe null
    }

    /**
     * Guards against stopping the runs in the domains that are reported first: they continue under the next owner if
     * this instance keeps no domain, and with it no jobs.
     */
    @Test
    fun `domains that are lost together are reported when none of them is owned any more`() {
        run(500, sees = ::all)
        a.ownership.leave()
        a.lost.toSet() shouldBe setOf("d1", "d2")
        a.ownedAtLoss.flatten().shouldBeEmpty()
    }

    /** The same for an instance that hears of another owner's higher tokens, as after a freeze. */
    @Test
    fun `domains that another owner has are lost together`() {
        run(500, sees = ::all)
        val tokens = a.ownership.owned.mapValues { it.value * 2 }
        a.ownership.tick(listOf(b.view().copy(owned = tokens), c.view())) { true }
        a.lost.toSet() shouldBe setOf("d1", "d2")
        a.ownedAtLoss.flatten().shouldBeEmpty()
    }

    /** Guards against a takeover that waits for the store. With a slow store, no instance claimed for 6.5 s. */
    @Test
    fun `an owner that stops is replaced immediately without the store`() {
        run(500, sees = ::all)
        storeIsUp = false
        a.ownership.leave()
        run(200, nodes = listOf(b, c)) { node ->
            listOf(a.view().copy(leaving = true)) + listOf(b, c).filter { it !== node }.map { it.view() }
        }
        b.ownership.owned.keys shouldBe setOf("d1", "d2")
    }

    /**
     * Guards against candidates that do not see each other and claim a released failure domain from each other. With
     * 47 instances, two of them did so for 2.7 s while backend servers fenced one after the other.
     */
    @Test
    fun `an owner that stops is replaced by one of several candidates that do not see each other`() {
        val d = Node("d", "d2", number = 4)
        val all = listOf(a, b, c, d)
        all.forEach { it.ownership.isPerDomain = true }
        val everyone = { node: Node -> all.filter { it !== node }.map { it.view() } }
        run(500, nodes = all, sees = everyone)
        b.ownership.owned.keys shouldBe setOf("d2")
        b.ownership.leave()
        run(200, nodes = listOf(c, d)) { node ->
            val other = if (node === c) d else c
            listOf(b.view().copy(leaving = true), seen(other, PeerState.SILENT).copy(owned = emptyMap()))
        }
        c.ownership.owned.keys shouldBe setOf("d2")
        d.ownership.owned.shouldBeEmpty()
    }

    /** Guards against claiming a released failure domain again each time that another instance has fenced the claim. */
    @Test
    fun `an instance that was fenced does not claim the released failure domain again`() {
        run(500, sees = ::all)
        a.ownership.leave()
        val left = { _: Node -> listOf(a.view().copy(leaving = true)) }
        run(100, nodes = listOf(b), sees = left)
        val token = b.ownership.owned.getValue("d1")
        rows["d1"] = VersionedOwner(OwnerRecord("d1", "c", 3, token + 1), ++version)
        b.ownership.onFenced("d1")
        run(300, nodes = listOf(b), sees = left)
        b.ownership.owned.keys shouldBe setOf("d2")
    }

    @Test
    fun `after a partition a single owner remains`() {
        run(500, sees = ::all)
        b.ownership.tick(listOf(seen(a, PeerState.SILENT), c.view())) { true }
        rows["d2"] = VersionedOwner(OwnerRecord("d2", "", 0, a.ownership.owned.getValue("d2")), ++version)
        run(3_000, nodes = listOf(b, c)) { node ->
            listOf(seen(a, PeerState.SILENT)) + listOf(b, c).filter { it !== node }.map { it.view() }
        }
        b.ownership.owned.shouldNotBeEmpty()
        run(4_000, sees = ::all)
        listOf(a, b, c).count { it.ownership.owned.isNotEmpty() } shouldBe 1
    }

    /**
     * Guards against claiming the failure domains of instances that start a moment later, after all have lost power.
     * The claims were released two seconds later, and the runs there were lost.
     */
    @Test
    fun `with an owner per failure domain an instance leaves other domains to instances that start with it`() {
        listOf(a, b, c).forEach { it.ownership.isPerDomain = true }
        run(400, nodes = listOf(a)) { listOf(seen(b, PeerState.SILENT), seen(c, PeerState.SILENT)) }
        a.ownership.owned.keys shouldBe setOf("d1")
        run(1_000, sees = ::all)
        a.lost.shouldBeEmpty()
        b.ownership.owned.keys shouldBe setOf("d2")
    }

    @Test
    fun `with an owner per failure domain an instance claims a domain without instances`() {
        listOf(a, b, c).forEach { it.ownership.isPerDomain = true }
        run(500, sees = ::all)
        run(2_000, nodes = listOf(a)) { listOf(seen(b, PeerState.DEAD), seen(c, PeerState.DEAD)) }
        a.ownership.owned.keys shouldBe setOf("d1", "d2")
    }

    /** Guards against a silence that is measured while the instance could not receive anything. */
    @Test
    fun `an instance that was suspended listens before it claims without the store`() {
        run(500, sees = ::all)
        storeIsUp = false
        val peers = { listOf(seen(a, PeerState.SILENT), seen(c, PeerState.ALIVE)) }
        run(50, listOf(b)) { peers() }
        clock += 3_000.milliseconds
        run(50, listOf(b)) { peers() }
        b.ownership.owned.shouldBeEmpty()
    }

    private companion object {
        const val TICK_MS = 50L
    }
}
