package medlarroute.dispatch

import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test

/** A task is not given up for losses of backend servers of which fewer than two are known to be crashes under it. */
class InnocentTaskTest {
    private val innocent = TaskKey(JobId("innocent"), 0, 0)

    private fun simulation(crashes: List<BackendCrash>) = SimulatedBackends().apply {
        configure(SimulatedBackends.queue())
        repeat(8) { add("b$it") }
        takeOver()
        workMs = { 2_000 }
        run(untilMs = 100)
        dispatcher.learn(listOf(TaskHistory(innocent, crashes = crashes)))
        val notStarted = JobProgress(ordered = emptyList())
        submit(job("innocent", tasks = 1, estimateMs = 2_000), timeoutMs = 60_000, progress = notStarted)
    }

    private fun SimulatedBackends.backendOfInnocent() = backends.values.single { innocent in it.running }

    /**
     * Guards against taking a partition that resets and refuses connections for the second crash, as in the hunt with
     * seed 426152231935: the task had only been beside the first one.
     */
    @Test
    fun `a task beside a crash and then alone on a backend server that was cut off is not given up`() {
        val sim = simulation(listOf(BackendCrash("former", 1, wasAlone = false)))
        sim.run(sim.nowMs + 300)
        val cut = sim.backendOfInnocent()
        cut.isRefusing = true
        sim.run(sim.nowMs + 3_000)
        cut.isRefusing = false
        sim.run(sim.nowMs + 10_000)
        sim.results[innocent.job] shouldBe JobResult.Complete
        sim.concurrentRuns.size shouldBe 0
    }

    /**
     * Guards against the other order: the backend server that was cut off is not back when another one crashes.
     */
    @Test
    fun `a task on a backend server that was cut off and then alone at a crash is not given up`() {
        val sim = simulation(emptyList())
        sim.run(sim.nowMs + 300)
        val cut = sim.backendOfInnocent()
        cut.isRefusing = true
        sim.run(sim.nowMs + 1_500)
        sim.backendOfInnocent().stopProcess()
        sim.run(sim.nowMs + 1_500)
        cut.isRefusing = false
        sim.run(sim.nowMs + 10_000)
        sim.results[innocent.job] shouldBe JobResult.Complete
        sim.concurrentRuns.size shouldBe 0
    }

    /**
     * Guards against counting a crash for a run whose lease had ended before, as an owner did that had been suspended:
     * the backend servers had crashed under the next owner.
     */
    @Test
    fun `a crash after the lease of a run is not counted by an owner that was suspended`() {
        val sim = simulation(emptyList())
        sim.workMs = { 6_000 }
        sim.run(sim.nowMs + 300)
        val lost = sim.backendOfInnocent()
        val owner = sim.owners.single()
        owner.isFrozen = true
        sim.run(sim.nowMs + 1_500)
        lost.running.isEmpty() shouldBe true
        lost.stopProcess()
        sim.run(sim.nowMs + 500)
        owner.isFrozen = false
        sim.run(sim.nowMs + 4_000)
        sim.backendOfInnocent().stopProcess()
        sim.run(sim.nowMs + 15_000)
        sim.results[innocent.job] shouldBe JobResult.Complete
        sim.concurrentRuns.size shouldBe 0
    }
}
