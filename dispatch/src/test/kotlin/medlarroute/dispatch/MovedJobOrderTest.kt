package medlarroute.dispatch

import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.types.shouldBeInstanceOf
import org.junit.jupiter.api.Test

/** Jobs that another owner has sent on before it started a task of them. */
class MovedJobOrderTest {
    private val notStarted = JobProgress(ordered = emptyList())

    private fun busySim(runMs: Long) = SimulatedBackends().apply {
        configure(SimulatedBackends.queue(objectiveMs = 2_000))
        add("b1", cores = 16)
        takeOver()
        run(untilMs = 100)
        workMs = { runMs }
        submit(job("running", tasks = 1, cpuMillis = 16_000, estimateMs = 300), timeoutMs = 60_000)
        run(untilMs = 110)
    }

    /** Guards against moved jobs that overtake those of the owner's own callers. */
    @Test
    fun `a moved job of which nothing was started is served after an earlier one`() {
        val sim = busySim(runMs = 300)
        sim.submit(sim.job("own", tasks = 1, cpuMillis = 16_000, estimateMs = 300))
        sim.run(untilMs = 150)
        sim.submit(sim.job("moved", tasks = 1, cpuMillis = 16_000, estimateMs = 300), progress = notStarted)
        sim.run(untilMs = 1_500)
        sim.results.keys.toList() shouldContainExactly listOf("running", "own", "moved").map(::JobId)
    }

    /** Guards against a moved job that is held until its caller's deadline although it can't end in time any more. */
    @Test
    fun `a moved job of which nothing was started is refused once it can't end in time`() {
        val sim = busySim(runMs = 30_000)
        sim.submit(
            sim.job("moved", tasks = 1, cpuMillis = 16_000, estimateMs = 300),
            timeoutMs = 20_000,
            progress = notStarted,
        )
        sim.run(untilMs = 10_000)
        sim.results[JobId("moved")].shouldBeInstanceOf<JobResult.NotRun>()
    }
}
