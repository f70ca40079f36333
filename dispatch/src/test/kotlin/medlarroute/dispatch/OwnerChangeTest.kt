package medlarroute.dispatch

import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import medlarroute.dispatch.routing.ReportedLoad
import org.junit.jupiter.api.Test

/** A job whose owner changes more than once. */
class OwnerChangeTest {
    private val sim = SimulatedBackends()
    private val owners = HashMap<String, SimulatedBackends.Owner>()
    private var current = "a"
    private val lost = HashSet<String>()
    private var lastNumber = 0L
    private val ownerClient = object : OwnerClient {
        override fun ownerOrNull() = current

        override fun nextOrNull(refusedBy: Set<String>): ReportedLoad? = null

        override fun isOwner(instance: String) = instance == current

        override fun isAlive(instance: String) = instance !in lost

        override fun incarnationOrNull(instance: String) = owners[instance]?.hashCode()?.toLong()

        override fun submit(owner: String, message: PeerMessage.Submit) {
            lastNumber = message.number
            val origin = JobOrigin("entry", message.number)
            val dispatcher = owners[owner]?.dispatcher ?: return
            dispatcher.submit(message.job, origin, message.timeoutMs, message.waitedMs, message.progress)
        }

        override fun cancel(owner: String, message: PeerMessage.Cancel) = Unit
    }
    private val entry = EntryService(sim.clock, ownerClient) { _, _, _ -> }

    private fun addOwner(name: String, domain: String, token: Long) {
        val owner = sim.addOwner()
        owners[name] = owner
        sim.configure(owner, SimulatedBackends.queue())
        owner.dispatcher.acquire(domain, token)
        owner.dispatcher.updateBackends(sim.backends.values.map { it.info })
    }

    /** Owner "a" hands a job over before it has started a task; owner "b" starts all of its tasks. */
    private fun handOver() {
        repeat(2) { sim.add("near$it", domain = "d1") }
        repeat(2) { sim.add("far$it", domain = "d2") }
        sim.workMs = { 5_000 }
        addOwner("b", "d1", token = 1)
        addOwner("c", "d2", token = 1)
        sim.run(untilMs = 50)
        val job = sim.job("j", tasks = 2, estimateMs = 300)
        entry.submit(job, "r", timeoutMs = 60_000) { }
        current = "b"
        entry.onMoved(lastNumber, job.id, JobProgress(ordered = emptyList()))
        sim.run(untilMs = 200)
        sim.starts shouldBe 2
    }

    private fun runAndTick(untilMs: Long) {
        while (sim.nowMs < untilMs) {
            sim.run(sim.nowMs + 50)
            entry.tick()
        }
    }

    /**
     * Guards against two runs of a task: after a handover and the loss of the next owner, the third owner was told that
     * no task had been started, as the first owner had reported.
     */
    @Test
    fun `a job that was handed over does not start beside the runs of the next owner when that one is lost`() {
        handOver()
        sim.kill(owners.getValue("b"))
        lost += "b"
        current = "c"
        runAndTick(untilMs = 4_000)
        sim.starts shouldBe 4
        sim.concurrentRuns.shouldBeEmpty()
    }

    /** As above, if the next owner is restarted under its name, without knowledge of the runs of its former process. */
    @Test
    fun `a job that was handed over does not start beside the runs of the next owner when that one is restarted`() {
        handOver()
        sim.kill(owners.getValue("b"))
        addOwner("b", "d2", token = 3)
        entry.onReconnected("b")
        runAndTick(untilMs = 4_000)
        sim.starts shouldBe 4
        sim.concurrentRuns.shouldBeEmpty()
    }
}
