package medlarroute.dispatch

import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import medlarroute.dispatch.evacuation.EvacuatedDomains
import org.junit.jupiter.api.Test

/** Rows of instances that are gone for good are removed by an owner; those of others stay. */
class MemberRemovalTest {
    private val alive = HashSet<String>()
    private val removed = ArrayList<PeerMember>()
    private var isStoreReachable = true
    private val store = object : FleetStore {
        override val isReachable get() = isStoreReachable

        override fun register(member: PeerMember, onNumber: (Long?) -> Unit) = Unit

        override fun removeMember(member: PeerMember, onResult: (Boolean) -> Unit) {
            if (member !in removed) removed += member
            onResult(true)
        }

        override fun readOwners(onOwners: (Map<String, VersionedOwner>?) -> Unit) = Unit

        override fun writeOwners(records: List<VersionedOwner>, onResult: (OwnerWriteResult) -> Unit) = Unit

        override fun watchMembers(onMembers: (List<PeerMember>) -> Unit) = Unit

        override fun watchConfiguration(
            onConfiguration: (DispatchConfiguration) -> Unit,
            onEvacuated: (EvacuatedDomains) -> Unit,
        ) = Unit

        override fun watchBackends(enabled: Boolean, onBackends: (BackendList) -> Unit) = Unit
    }

    private fun member(name: String, domain: String, number: Long) = PeerMember(name, domain, "127.0.0.1", 1, number)

    private val own = member("own", "d1", 1)
    private val near = member("near", "d1", 2)
    private val far = member("far", "d2", 3)
    private val farther = member("farther", "d2", 4)
    private val removal = MemberRemoval(own, store, { it in alive }, { _, _, _ -> })
    private var nowMs = 0L

    init {
        alive += listOf("near", "far", "farther")
        removal.onMembers(listOf(own, near, far, farther))
        advance(TICK_MS)
    }

    private fun advance(forMs: Long, isOwner: Boolean = true, tickMs: Long = TICK_MS) {
        repeat((forMs / tickMs).toInt()) {
            nowMs += tickMs
            removal.onTick(nowMs, isOwner)
        }
    }

    /** Guards against replaced machines that count as instances forever, so that each domain gets its own owner. */
    @Test
    fun `an instance that is silent for long is removed, and no earlier`() {
        alive -= "far"
        advance(MemberRemoval.GONE_MS - TICK_MS)
        removed.shouldBeEmpty()
        advance(TICK_MS)
        removed shouldContainExactly listOf(far)
    }

    /** Guards against the removal of all instances of a failure domain that is only cut off. */
    @Test
    fun `instances of a domain of which nothing is heard are kept for longer`() {
        alive -= listOf("far", "farther")
        advance(MemberRemoval.DOMAIN_FACTOR * MemberRemoval.GONE_MS - TICK_MS)
        removed.shouldBeEmpty()
        advance(TICK_MS)
        removed shouldContainExactly listOf(far, farther)
    }

    /** Guards against an owner that is cut off itself and removes the others, also those of its own domain. */
    @Test
    fun `an owner that hears nobody removes nobody before the longer bound`() {
        alive.clear()
        advance(MemberRemoval.DOMAIN_FACTOR * MemberRemoval.GONE_MS - TICK_MS)
        removed.shouldBeEmpty()
    }

    /** Guards against removing an instance that only this owner can't reach, and then counting it in and out. */
    @Test
    fun `an instance that a peer hears is not removed`() {
        alive -= "far"
        advance(MemberRemoval.GONE_MS / 2)
        removal.missing shouldContainExactly listOf("far")
        repeat(10) {
            removal.onHeartbeat("near", PeerMessage.Heartbeat(heard = removal.missing))
            advance(MemberRemoval.GONE_MS - TICK_MS)
        }
        removed.shouldBeEmpty()
    }

    /** Guards against peers that hear a missed instance and do not say so. */
    @Test
    fun `an instance tells which of the instances missed by an owner it hears`() {
        removal.heard().shouldBeEmpty()
        removal.onHeartbeat("near", PeerMessage.Heartbeat(missing = listOf("far", "other")))
        removal.heard() shouldContainExactly listOf("far")
        removal.onHeartbeat("near", PeerMessage.Heartbeat())
        removal.heard().shouldBeEmpty()
    }

    /** Guards against silence that is only that of this process or of the store. */
    @Test
    fun `silence does not count while this instance is paused, owns nothing or does not reach the store`() {
        alive -= "far"
        advance(2 * MemberRemoval.GONE_MS, tickMs = PAUSE_MS + 1)
        advance(2 * MemberRemoval.GONE_MS, isOwner = false)
        isStoreReachable = false
        advance(2 * MemberRemoval.GONE_MS)
        removed.shouldBeEmpty()
        isStoreReachable = true
        advance(MemberRemoval.GONE_MS - TICK_MS)
        removed.shouldBeEmpty()
    }

    /** Guards against the immediate removal of an instance that has registered again and is still not heard. */
    @Test
    fun `a new registration is a sign of life`() {
        alive -= "far"
        advance(MemberRemoval.GONE_MS)
        val again = far.copy(number = 9)
        removal.onMembers(listOf(own, near, again, farther))
        advance(MemberRemoval.GONE_MS - TICK_MS)
        removed shouldContainExactly listOf(far)
        advance(TICK_MS)
        removed.last() shouldBe again
    }

    private companion object {
        const val TICK_MS = 50L
    }
}
