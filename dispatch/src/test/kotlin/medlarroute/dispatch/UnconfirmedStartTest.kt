package medlarroute.dispatch

import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test

/** A backend server that may have crashed before a task started there is no evidence against the task. */
class UnconfirmedStartTest {
    /** Guards against giving up a task for three losses, although it was confirmed to run at only one of them. */
    @Test
    fun `a task with one crash is not given up for two losses before its starts were confirmed`() {
        val innocent = TaskKey(JobId("innocent"), 0, 0)
        val sim = SimulatedBackends()
        sim.configure(SimulatedBackends.queue())
        repeat(8) { sim.add("b$it") }
        sim.takeOver()
        sim.workMs = { 2_000 }
        sim.run(untilMs = 100)
        val unconfirmed = List(2) { BackendCrash("former$it", 1, wasAlone = true, isConfirmed = false) }
        sim.dispatcher.learn(listOf(TaskHistory(innocent, crashes = unconfirmed)))
        val request = sim.job("innocent", tasks = 1, estimateMs = 2_000)
        sim.submit(request, timeoutMs = 60_000, progress = JobProgress(ordered = emptyList()))
        sim.run(sim.nowMs + 300)
        sim.backends.values.single { innocent in it.running }.stopProcess()
        sim.run(sim.nowMs + 10_000)
        sim.results[innocent.job] shouldBe JobResult.Complete
    }
}
