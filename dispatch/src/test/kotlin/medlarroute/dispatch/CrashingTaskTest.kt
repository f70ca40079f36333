package medlarroute.dispatch

import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.junit.jupiter.api.Test

/** A task that crashes the backend servers that start it costs few of them, and costs other tasks little. */
class CrashingTaskTest {
    private val guilty = TaskKey(JobId("guilty"), 0, 0)

    private fun simulation(backends: Int = 8) = SimulatedBackends().apply {
        configure(SimulatedBackends.queue())
        repeat(backends) { add("b$it") }
        takeOver()
        crashesAfterMs = { task -> if (task == guilty) 5 else null }
        run(untilMs = 100)
    }

    /** Guards against starting a task until its caller's deadline when each start crashes a backend server. */
    @Test
    fun `a task is given up after it has crashed two backend servers`() {
        val sim = simulation()
        sim.submit(sim.job("guilty", tasks = 1), timeoutMs = 60_000)
        sim.run(untilMs = 20_000)
        sim.startsByTask[guilty] shouldBe 2
        sim.results[JobId("guilty")].shouldBeInstanceOf<JobResult.Failed>()
        sim.resultAtMs.getValue(JobId("guilty")) shouldBeLessThan 3_000L
    }

    /** Guards against a count that only covers backend servers which restart under their former id. */
    @Test
    fun `a task is given up when its backend servers restart under other ids`() {
        val sim = simulation()
        sim.restartsUnderNewId = true
        sim.submit(sim.job("guilty", tasks = 1), timeoutMs = 60_000)
        sim.run(untilMs = 20_000)
        sim.startsByTask[guilty] shouldBe 2
        sim.results[JobId("guilty")].shouldBeInstanceOf<JobResult.Failed>()
    }

    /** Guards against placing the tasks of a crashed backend server together again, which loses the others twice. */
    @Test
    fun `tasks beside a crashing task are lost at most once`() {
        val sim = simulation(backends = 3)
        sim.workMs = { 300 }
        sim.submit(sim.job("guilty", tasks = 1, estimateMs = 300), timeoutMs = 60_000)
        repeat(4) { sim.submit(sim.job("other$it", tasks = 1, estimateMs = 300), timeoutMs = 60_000) }
        sim.run(untilMs = 20_000)
        repeat(4) { number ->
            sim.results[JobId("other$number")] shouldBe JobResult.Complete
            sim.startsByTask.getValue(TaskKey(JobId("other$number"), 0, 0)) shouldBeLessThan 3
        }
    }

    /** Guards against a count that begins anew when the caller sends the job again. */
    @Test
    fun `a repeat of a job that was given up is not started again`() {
        val sim = simulation()
        val request = sim.job("guilty", tasks = 1)
        sim.submit(request, timeoutMs = 1_500)
        sim.run(untilMs = 2_500)
        repeat(4) {
            sim.submit(request, timeoutMs = 1_500)
            sim.run(sim.nowMs + 2_000)
        }
        sim.startsByTask[guilty] shouldBe 2
        sim.results[JobId("guilty")].shouldBeInstanceOf<JobResult.Failed>()
    }
}
