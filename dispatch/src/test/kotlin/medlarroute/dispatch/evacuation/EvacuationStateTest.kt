package medlarroute.dispatch.evacuation

import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import medlarroute.dispatch.EventLog
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

/** Which set of evacuated failure domains an instance knows, and whom it tells. */
class EvacuationStateTest {
    private val clock = TestTimeSource()
    private val events = ArrayList<String>()
    private val state = newState()

    private fun newState() = EvacuationState(
        listOf("d1", "d2"),
        clock,
        EventLog { part, event, fields ->
            events += "$part $event ${fields.joinToString(" ")}"
        },
    )

    private fun EvacuationState.offer(version: Long, vararg domains: String) =
        offer(EvacuatedDomains(version, domains.toSet()), "store")

    /** Guards against a request that is read late and evacuates a failure domain again after its removal. */
    @Test
    fun `of a request and its removal in quick succession the higher version decides`() {
        state.offer(5, "d1") shouldBe true
        state.offer(7) shouldBe true
        state.offer(6, "d1") shouldBe false
        state.active.shouldBeEmpty()
        state.current shouldBe EvacuatedDomains(7)
    }

    /** Guards against a mistyped name that stops the others, and against one that is not noticed. */
    @Test
    fun `an unknown failure domain is logged once and the others count`() {
        state.offer(5, "d1", "d9")
        state.offer(6, "d1", "d2", "d9")
        state.active shouldBe setOf("d1", "d2")
        events.count { "unknown-domain" in it } shouldBe 1
    }

    @Test
    fun `begin and end are logged once each`() {
        state.offer(5, "d1")
        state.offer(6, "d1")
        state.offer(7)
        events shouldContainExactly listOf(
            "evacuation begun failureDomain d1 version 5 from store",
            "evacuation ended failureDomain d1 version 7 from store",
        )
    }

    /** Guards against messages in deployments that never evacuate, whose instances read the table at other versions. */
    @Test
    fun `empty sets of different versions are not exchanged`() {
        val other = newState()
        state.offer(5)
        other.offer(900)
        state.heartbeatVersion shouldBe 0
        state.shouldSend("p", other.heartbeatVersion) shouldBe false
        other.shouldSend("q", state.heartbeatVersion) shouldBe false
    }

    /** Guards against an instance without the store that never learns of an evacuation. */
    @Test
    fun `a peer that knows no evacuation is sent it`() {
        val other = newState()
        state.offer(5, "d1")
        other.offer(3)
        state.shouldSend("p", other.heartbeatVersion) shouldBe true
        other.offer(checkNotNull(state.current), "peer")
        state.shouldSend("p", other.heartbeatVersion) shouldBe false
    }

    /** Guards against an evacuation that goes on where the store can't be reached, as the removal is the empty set. */
    @Test
    fun `the end of an evacuation reaches peers that know only its begin`() {
        val other = newState()
        val restarted = newState()
        listOf(state, other).forEach { it.offer(5, "d1") }
        state.offer(8)
        state.shouldSend("p", other.heartbeatVersion) shouldBe true
        // A process that has never known the evacuation sends it back only to one that reports it.
        restarted.offer(9)
        restarted.shouldSend("p", other.heartbeatVersion) shouldBe true
    }

    /** Guards against a message for each heartbeat of an instance of an earlier version, which never reports a set. */
    @Test
    fun `a peer that does not report the set is sent it once a second, and at once on a new connection`() {
        state.offer(5, "d1")
        state.shouldSend("p", 0) shouldBe true
        clock += 900.milliseconds
        state.shouldSend("p", 0) shouldBe false
        state.onConnected("p")
        state.shouldSend("p", 0) shouldBe true
        clock += 1_000.milliseconds
        state.shouldSend("p", 0) shouldBe true
        state.offer(6, "d2")
        state.shouldSend("p", 0) shouldBe true
    }

    /** Guards against a restarted instance that passes on a set which it does not have. */
    @Test
    fun `without a set nothing is sent`() {
        state.shouldSend("p", 0) shouldBe false
        state.shouldSend("p", 9) shouldBe false
    }
}
