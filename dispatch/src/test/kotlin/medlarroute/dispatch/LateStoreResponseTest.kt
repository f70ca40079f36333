package medlarroute.dispatch

import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.maps.shouldBeEmpty
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import medlarroute.dispatch.evacuation.EvacuatedDomains
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

/** Responses of the store that an instance reads only after its machine was suspended. */
class LateStoreResponseTest {
    private val clock = TestTimeSource()
    private val rows = HashMap<String, VersionedOwner>()
    private var version = 0L

    private inner class Node(name: String, number: Long) : OwnershipListener {
        private val member = PeerMember(name, DOMAIN, name, 1, number)
        private val unread = ArrayList<() -> Unit>()

        /** Responses wait until [wake]. */
        var isSuspended = false
        private val store = object : FleetStore {
            override val isReachable = true

            override fun register(member: PeerMember, onNumber: (Long?) -> Unit) = onNumber(1)

            override fun readOwners(onOwners: (Map<String, VersionedOwner>?) -> Unit) {
                val found = rows.toMap()
                deliver { onOwners(found) }
            }

            override fun writeOwners(records: List<VersionedOwner>, onResult: (OwnerWriteResult) -> Unit) {
                val isStale = records.any { (rows[DOMAIN]?.version ?: 0) != it.version }
                if (!isStale) rows[DOMAIN] = VersionedOwner(records.single().record, ++version)
                val found = rows.toMap()
                val written = OwnerWriteResult.Written(mapOf(DOMAIN to version))
                deliver { onResult(if (isStale) OwnerWriteResult.Conflict(found) else written) }
            }

            override fun removeMember(member: PeerMember, onResult: (Boolean) -> Unit) = Unit

            override fun watchMembers(onMembers: (List<PeerMember>) -> Unit) = Unit

            override fun watchConfiguration(
                onConfiguration: (DispatchConfiguration) -> Unit,
                onEvacuated: (EvacuatedDomains) -> Unit,
            ) = Unit

            override fun watchBackends(enabled: Boolean, onBackends: (BackendList) -> Unit) = Unit
        }
        val ownership = Ownership(
            member,
            listOf(DOMAIN),
            OwnershipSettings(tokenSuffix = number),
            clock,
            store,
            this,
        ) { _, _, _ -> }
        val token: Long? get() = ownership.owned[DOMAIN]

        private fun deliver(response: () -> Unit) {
            if (isSuspended) unread += response else response()
        }

        fun wake() {
            isSuspended = false
            unread.toList().also { unread.clear() }.forEach { it() }
        }

        fun view(state: PeerState) = PeerView(member, state, ownership.owned, leaving = false)

        fun tick(vararg peers: PeerView) = ownership.tick(peers.toList()) { true }

        override fun onAcquired(failureDomain: String, token: Long, wasReleased: Boolean) = Unit

        override fun onLost(failureDomain: String) = Unit
    }

    private val a = Node("a", 1)
    private val b = Node("b", 2)

    /** Ticks [node], which does not reach [other], every 50 ms. */
    private fun run(forMs: Long, node: Node, other: Node) = repeat((forMs / TICK_MS).toInt()) {
        clock += TICK_MS.milliseconds
        node.tick(other.view(PeerState.SILENT))
    }

    /** Guards against a takeover from an owner that has renewed its record while the response was unread. */
    @Test
    fun `an instance that reads an old record late takes nothing over`() {
        run(500, a, b)
        run(300, b, a)
        b.isSuspended = true
        run(300, b, a)
        run(3_000, a, b)
        b.wake()
        run(300, b, a)
        b.ownership.owned.shouldBeEmpty()
        a.token.shouldNotBeNull()
    }

    /** Guards against two owners: the claim was written before a suspension, and another instance has claimed since. */
    @Test
    fun `an instance that reads the confirmation of its claim late yields to the next owner`() {
        run(50, a, b)
        a.isSuspended = true
        run(100, a, b)
        rows.getValue(DOMAIN).record?.owner shouldBe "a"
        run(3_000, b, a)
        a.wake()
        b.token.shouldNotBeNull() shouldBeGreaterThan a.token.shouldNotBeNull()
        a.tick(b.view(PeerState.ALIVE))
        a.ownership.owned.shouldBeEmpty()
        b.token.shouldNotBeNull()
    }

    private companion object {
        const val DOMAIN = "d1"
        const val TICK_MS = 50L
    }
}
