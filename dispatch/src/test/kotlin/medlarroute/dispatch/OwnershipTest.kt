package medlarroute.dispatch

import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.maps.shouldBeEmpty
import io.kotest.matchers.maps.shouldNotBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

/** Who owns which failure domain when instances die, freeze or are cut off. */
class OwnershipTest {
    private val clock = TestTimeSource()
    private val rows = HashMap<String, VersionedOwner>()
    private var version = 0L
    private var storeIsUp = true

    private inner class Node(name: String, domain: String, number: Long) : OwnershipListener {
        val member = PeerMember(name, domain, name, 1, number)
        val lost = ArrayList<String>()
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

            override fun watchMembers(onMembers: (List<PeerMember>) -> Unit) = Unit

            override fun watchConfiguration(onConfiguration: (DispatchConfiguration) -> Unit) = Unit

            override fun watchBackends(enabled: Boolean, onBackends: (List<BackendInfo>) -> Unit) = Unit
        }
        val ownership =
            Ownership(member, listOf("d1", "d2"), OwnershipSettings(tokenSuffix = number), clock, store, this) {
                    _,
                    _,
                    _,
                ->
            }
        var peers: List<PeerView> = emptyList()
        var life = PeerLife.ALIVE

        override fun owned(failureDomain: String, token: Long) = Unit

        override fun disowned(failureDomain: String) {
            lost += failureDomain
        }

        fun view() = PeerView(member, life, ownership.owned, leaving = false, released = ownership.released)
    }

    private val a = Node("a", "d1", number = 1)
    private val b = Node("b", "d2", number = 2)
    private val c = Node("c", "d2", number = 3)

    /** Lets the nodes tick every 50 ms, each with the views that [sees] gives it. */
    private fun run(forMs: Long, nodes: List<Node> = listOf(a, b, c), sees: (Node) -> List<PeerView>) {
        repeat((forMs / TICK_MS).toInt()) {
            clock += TICK_MS.milliseconds
            nodes.forEach { it.ownership.tick(sees(it)) { true } }
        }
    }

    private fun all(node: Node) = listOf(a, b, c).filter { it !== node }.map { it.view() }

    private fun seen(node: Node, life: PeerLife) = node.view().copy(life = life)

    @Test
    fun `the most senior instance owns all failure domains`() {
        run(500, sees = ::all)
        a.ownership.owned.keys shouldBe setOf("d1", "d2")
        b.ownership.owned.shouldBeEmpty()
    }

    /** Fails if an instance that is cut off takes backend servers from an owner that renews its records. */
    @Test
    fun `an instance that hears nobody claims nothing while the owner renews its records`() {
        run(500, sees = ::all)
        run(5_000) { node -> if (node === c) listOf(seen(a, PeerLife.SILENT), seen(b, PeerLife.SILENT)) else all(node) }
        c.ownership.owned.shouldBeEmpty()
        a.lost.shouldBeEmpty()
    }

    /** Seen in a partition that refuses connections: refused peers are not proved dead. */
    @Test
    fun `refused connections alone move no ownership`() {
        run(500, sees = ::all)
        run(5_000) { node -> if (node === c) listOf(seen(a, PeerLife.DEAD), seen(b, PeerLife.DEAD)) else all(node) }
        c.ownership.owned.shouldBeEmpty()
        a.lost.shouldBeEmpty()
    }

    @Test
    fun `the next senior instance takes over from a dead owner with a higher token`() {
        run(500, sees = ::all)
        val before = a.ownership.owned.getValue("d1")
        run(2_000, nodes = listOf(b, c)) { node ->
            listOf(seen(a, PeerLife.DEAD)) + listOf(b, c).filter { it !== node }.map { it.view() }
        }
        b.ownership.owned.keys shouldBe setOf("d1", "d2")
        (b.ownership.owned.getValue("d1") > before) shouldBe true
        c.ownership.owned.shouldBeEmpty()
    }

    /** Fails if ownership depends on the store alone: the owner may die while the store is down. */
    @Test
    fun `without the store the instances that hear each other replace a silent owner in their failure domain`() {
        run(500, sees = ::all)
        storeIsUp = false
        run(4_000, nodes = listOf(b, c)) { node ->
            listOf(seen(a, PeerLife.SILENT)) + listOf(b, c).filter { it !== node }.map { it.view() }
        }
        b.ownership.owned.keys shouldBe setOf("d2")
    }

    @Test
    fun `without the store an instance that hears nobody claims nothing`() {
        run(500, sees = ::all)
        storeIsUp = false
        run(4_000, nodes = listOf(c)) { listOf(seen(a, PeerLife.SILENT), seen(b, PeerLife.SILENT)) }
        c.ownership.owned.shouldBeEmpty()
    }

    @Test
    fun `an owner that stops is followed at once`() {
        run(500, sees = ::all)
        a.ownership.leave()
        run(200, nodes = listOf(b, c)) { node ->
            listOf(a.view().copy(leaving = true)) + listOf(b, c).filter { it !== node }.map { it.view() }
        }
        b.ownership.owned.shouldNotBeEmpty()
        b.ownership.owned["d1"] shouldNotBe null
    }

    /** Seen when the owner stopped while the store was slow: no instance claimed for 6.5 s. */
    @Test
    fun `an owner that stops is followed at once without the store`() {
        run(500, sees = ::all)
        storeIsUp = false
        a.ownership.leave()
        run(200, nodes = listOf(b, c)) { node ->
            listOf(a.view().copy(leaving = true)) + listOf(b, c).filter { it !== node }.map { it.view() }
        }
        b.ownership.owned.keys shouldBe setOf("d1", "d2")
    }

    @Test
    fun `after a partition one owner remains`() {
        run(500, sees = ::all)
        b.ownership.tick(listOf(seen(a, PeerLife.SILENT), c.view())) { true }
        rows["d2"] = VersionedOwner(OwnerRecord("d2", "", 0, a.ownership.owned.getValue("d2")), ++version)
        run(3_000, nodes = listOf(b, c)) { node ->
            listOf(seen(a, PeerLife.SILENT)) + listOf(b, c).filter { it !== node }.map { it.view() }
        }
        b.ownership.owned.shouldNotBeEmpty()
        run(4_000, sees = ::all)
        listOf(a, b, c).count { it.ownership.owned.isNotEmpty() } shouldBe 1
    }

    private companion object {
        const val TICK_MS = 50L
    }
}
