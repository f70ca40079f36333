package medlarroute.dispatch.routing

import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import medlarroute.dispatch.EntryService
import medlarroute.dispatch.JobId
import medlarroute.dispatch.JobRequest
import medlarroute.dispatch.JobResult
import medlarroute.dispatch.NotRunCode
import medlarroute.dispatch.OwnerClient
import medlarroute.dispatch.OwnerSelection
import medlarroute.dispatch.PeerMember
import medlarroute.dispatch.PeerMessage
import medlarroute.dispatch.PeerState
import medlarroute.dispatch.PeerView
import medlarroute.dispatch.QueueId
import medlarroute.dispatch.Resources
import medlarroute.dispatch.StepRequest
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

/** Forwarded jobs when owners and entries fail or know old figures. The entry is in failure domain d1 of three. */
class ForwardingFailureTest {
    private val clock = TestTimeSource()
    private val states = hashMapOf("o1" to PeerState.ALIVE, "o2" to PeerState.ALIVE, "o3" to PeerState.ALIVE)
    private val loads = hashMapOf("o1" to 100, "o2" to 50, "o3" to 80)

    /** Loads of the other owners as each owner tells them. */
    private val relayed = HashMap<String, Map<String, Int>>()
    private var evacuated = emptySet<String>()
    private var isPerDomain = true
    private val sent = ArrayList<Pair<String, PeerMessage.Submit>>()
    private val results = ArrayList<JobResult>()

    private fun view(name: String, state: PeerState): PeerView {
        val domain = "d${name.last()}"
        val member = PeerMember(name, domain, name, 1, number = name.last().digitToInt().toLong())
        return PeerView(member, state, if (name == "e1") emptyMap() else mapOf(domain to 1L), leaving = false)
    }

    /** As the network does, without the heartbeat of a peer that is not alive. */
    private fun heartbeatOf(name: String): PeerMessage.Heartbeat? {
        if (states[name] != PeerState.ALIVE) return null
        return PeerMessage.Heartbeat(loadPercent = loads.getValue(name), ownerLoads = relayed[name].orEmpty())
    }

    private fun selection(overflowPercent: Int = 120) = OwnerSelection(
        own = { view("e1", PeerState.ALIVE) },
        peers = { states.map { (name, state) -> view(name, state) } },
        isPerDomain = { isPerDomain },
        heartbeatOf = ::heartbeatOf,
        ownLoadPercent = { 0 },
        evacuated = { evacuated },
        overflowPercent = overflowPercent,
    )

    private val selection = selection()

    private inner class Client : OwnerClient {
        override fun ownerOrNull() = selection.ownerOrNull()

        override fun nextOrNull(refusedBy: Set<String>) = selection.nextOrNull(refusedBy)

        override fun isOwner(instance: String) = states[instance] == PeerState.ALIVE

        override fun isAlive(instance: String) = states[instance] == PeerState.ALIVE

        override fun incarnationOrNull(instance: String) = 1L

        override fun submit(owner: String, message: PeerMessage.Submit) {
            sent += owner to message
        }

        override fun cancel(owner: String, message: PeerMessage.Cancel) = Unit
    }

    private var entry = EntryService(clock, Client()) { _, _, _ -> }
    private val job = JobRequest(JobId("j"), QueueId("q"), "p", listOf(StepRequest(1, Resources(1))))

    private fun submit() = entry.submit(job, "r", timeoutMs = 1_500) { results += it }

    private fun answer(result: JobResult) = entry.onResult(sent.last().second.number, job.id, result)

    private fun overload(retryAfterMs: Long? = 1_000) = JobResult.NotRun(NotRunCode.OVERLOAD, "full", retryAfterMs)

    /** Guards against "not run" for a job that the lost owner may have started, and against a lost job. */
    @Test
    fun `a forwarded job whose owner dies before its first start is submitted again as one that may have run`() {
        submit()
        answer(overload())
        sent.map { it.first } shouldContainExactly listOf("o1", "o2")
        sent.last().second.progress.shouldBeNull()
        states["o2"] = PeerState.DEAD
        entry.tick()
        sent.map { it.first } shouldContainExactly listOf("o1", "o2", "o1")
        sent.last().second.progress.shouldNotBeNull()
        answer(overload())
        sent.map { it.first } shouldContainExactly listOf("o1", "o2", "o1")
        results.single().shouldBeInstanceOf<JobResult.Abandoned>()
    }

    /** Guards against a refusal though a third failure domain has capacity, and against asking an owner twice. */
    @Test
    fun `with figures that are out of date a job is refused only after each owner has refused it`() {
        loads["o2"] = 0
        submit()
        repeat(3) { answer(overload(retryAfterMs = 2_000L - 500 * it)) }
        sent.map { it.first } shouldContainExactly listOf("o1", "o2", "o3")
        results shouldContainExactly listOf(overload(retryAfterMs = 1_000))
    }

    /** Guards against jobs for an owner that can't be reached, and against a loop when it is back with old figures. */
    @Test
    fun `a failure domain that returns after a partition with old figures is asked once`() {
        states["o2"] = PeerState.SILENT
        relayed["o1"] = mapOf("o2" to 0, "o3" to 80)
        selection.nextOrNull(setOf("o1"))?.owner shouldBe "o3"
        states["o2"] = PeerState.ALIVE
        submit()
        repeat(3) { answer(overload()) }
        sent.map { it.first } shouldContainExactly listOf("o1", "o2", "o3")
        results shouldContainExactly listOf(overload())
    }

    /** Guards against a reply to the ended process that forwards or answers a job of the new one. */
    @Test
    fun `a restarted entry ignores replies to its predecessor and asks all owners`() {
        submit()
        answer(overload())
        val earlier = sent.last().second.number
        sent.clear()
        entry = EntryService(clock, Client()) { _, _, _ -> }
        submit()
        entry.onResult(earlier, job.id, overload())
        sent.map { it.first } shouldContainExactly listOf("o1")
        results.shouldBeEmpty()
        repeat(3) { answer(overload()) }
        sent.map { it.first } shouldContainExactly listOf("o1", "o2", "o3")
    }

    /** Guards against an answer that a retry is of no use, given for one failure domain only. */
    @Test
    fun `a forwarded job that fits on no backend server there is answered with the refusal for overload`() {
        submit()
        answer(overload())
        repeat(2) { answer(JobResult.NotRun(NotRunCode.CAN_NEVER_RUN, "no backend server", null)) }
        results shouldContainExactly listOf(overload())
    }

    /** Guards against forwarding after the caller has gone. */
    @Test
    fun `a refused job is not forwarded after its deadline`() {
        submit()
        clock += 1_500.milliseconds
        answer(overload())
        sent.map { it.first } shouldContainExactly listOf("o1")
        results shouldContainExactly listOf(overload())
    }

    /** Guards against jobs for owners that start nothing or have more queued work than capacity. */
    @Test
    fun `evacuated and overloaded owners are not asked`() {
        evacuated = setOf("d2")
        selection.nextOrNull(setOf("o1"))?.owner shouldBe "o3"
        loads["o3"] = 120
        selection.nextOrNull(setOf("o1")).shouldBeNull()
    }

    /** Guards against a change of deployments with a single owner, or of those that have switched it off. */
    @Test
    fun `switched off or without owners for each failure domain one other owner with a reserve is asked`() {
        val switchedOff = selection(overflowPercent = 0)
        isPerDomain = false
        for (choice in listOf(switchedOff, selection)) {
            choice.nextOrNull(setOf("o1"))?.owner shouldBe "o2"
            choice.nextOrNull(setOf("o1", "o2")).shouldBeNull()
            loads["o2"] = 75
            choice.nextOrNull(setOf("o1")).shouldBeNull()
            loads["o2"] = 50
            isPerDomain = true
            switchedOff.nextOrNull(setOf("o1"))?.owner shouldBe "o2"
            isPerDomain = false
        }
    }
}
