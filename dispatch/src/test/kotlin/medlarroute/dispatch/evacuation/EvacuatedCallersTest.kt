package medlarroute.dispatch.evacuation

import io.kotest.matchers.shouldBe
import medlarroute.dispatch.OwnerSelection
import medlarroute.dispatch.PeerMember
import medlarroute.dispatch.PeerState
import medlarroute.dispatch.PeerView
import org.junit.jupiter.api.Test

/** To which owner the jobs of an evacuated failure domain go. */
class EvacuatedCallersTest {
    private var evacuated = emptySet<String>()
    private var isPerDomain = true
    private val owned = hashMapOf("o1" to setOf("d1"), "o2" to setOf("d2"), "o3" to setOf("d3"))

    private fun view(name: String, domain: String): PeerView {
        val member = PeerMember(name, domain, name, 1, number = name.last().digitToInt().toLong())
        return PeerView(member, PeerState.ALIVE, owned[name].orEmpty().associateWith { 1L }, leaving = false)
    }

    private val selection = OwnerSelection(
        own = { view("e9", "d1") },
        peers = { listOf(view("o1", "d1"), view("o2", "d2"), view("o3", "d3")) },
        isPerDomain = { isPerDomain },
        heartbeatOf = { null },
        ownLoadPercent = { 0 },
        evacuated = { evacuated },
    )

    private fun choose(jobs: Int) = (1..jobs).map { selection.ownerOrNull() }.groupingBy { it }.eachCount()

    /** Guards against callers that are refused, and against one owner that gets all their jobs. */
    @Test
    fun `jobs of an evacuated failure domain are spread over the other owners`() {
        choose(4) shouldBe mapOf("o1" to 4)
        evacuated = setOf("d1")
        choose(4) shouldBe mapOf("o2" to 2, "o3" to 2)
        evacuated = setOf("d1", "d2")
        choose(4) shouldBe mapOf("o3" to 4)
    }

    @Test
    fun `jobs of other failure domains stay with their owner`() {
        evacuated = setOf("d2")
        choose(4) shouldBe mapOf("o1" to 4)
    }

    /** Guards against an instance that counts as not ready, so that its callers lose their connections. */
    @Test
    fun `if all failure domains are evacuated the own owner is asked, which refuses`() {
        evacuated = setOf("d1", "d2", "d3")
        choose(2) shouldBe mapOf("o1" to 2)
        selection.otherServingOwners() shouldBe emptyList()
    }

    /** Guards against a single owner that is passed over since it owns an evacuated failure domain, too. */
    @Test
    fun `a single owner is chosen while it owns another failure domain`() {
        isPerDomain = false
        owned.clear()
        owned["o1"] = setOf("d1", "d2", "d3")
        evacuated = setOf("d1")
        choose(2) shouldBe mapOf("o1" to 2)
    }
}
