package medlarroute.dispatch

import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.junit.jupiter.api.Test

/** Backend servers that do not guard their capacity are never loaded beyond it, also while it changes. */
class CapacityTest {
    /** Admits a job regardless of the predicted wait. */
    private val notStarted = JobProgress(ordered = emptyList())

    private fun simulation(backends: Int) = SimulatedBackends().apply {
        rejectsOverload = false
        stopMs = 50
        configure(SimulatedBackends.queue(objectiveMs = 5_000))
        repeat(backends) { add("b$it") }
        takeOver()
        run(untilMs = 200)
    }

    private fun SimulatedBackends.resize(id: String, cores: Int) {
        val old = backends.getValue(id)
        val info = old.info.copy(capacity = old.info.capacity.copy(cpuMillis = cores * SimulatedBackends.MILLIS))
        dispatcher.updateBackends(backends.values.map { if (it === old) info else it.info })
    }

    /** Guards against placing by the former capacity while the runs that were started under it go on. */
    @Test
    fun `nothing starts on a backend server whose capacity has shrunk below its runs`() {
        val sim = simulation(backends = 1)
        sim.workMs = { 500 }
        sim.submit(sim.job("first", tasks = 2, estimateMs = 500), timeoutMs = 5_000)
        sim.run(untilMs = 250)
        sim.resize("b0", cores = 7)
        sim.submit(sim.job("second", tasks = 1, estimateMs = 500), timeoutMs = 5_000, progress = notStarted)
        sim.run(untilMs = 500)
        sim.startsByTask[TaskKey(JobId("second"), 0, 0)] shouldBe null
        sim.run(untilMs = 4_000)
        sim.results[JobId("second")] shouldBe JobResult.Complete
    }

    /** Guards against using the capacity of a run that a poll no longer lists although it is still being stopped. */
    @Test
    fun `a run that is being stopped counts until it has ended`() {
        val sim = simulation(backends = 1)
        sim.listsStoppingRuns = false
        sim.workMs = { task -> if (task.job == JobId("short")) 60 else 5_000 }
        sim.submit(sim.job("stopped", tasks = 1, estimateMs = 5_000), timeoutMs = 20_000)
        sim.run(untilMs = 1_950)
        sim.submit(sim.job("short", tasks = 1), timeoutMs = 20_000)
        sim.submit(sim.job("queued", tasks = 2, estimateMs = 5_000), timeoutMs = 20_000, progress = notStarted)
        sim.run(untilMs = 2_000)
        // The short run ends, and a poll reports its end, while the other run is being stopped.
        sim.dispatcher.cancelForAll(JobId("stopped"))
        sim.run(untilMs = 2_500)
        sim.backends.getValue("b0").running.size shouldBe 2
        sim.overloadMillis shouldBe 0
        sim.concurrentRuns.shouldBeEmpty()
    }

    /** Guards against the capacity and the labels of the former process, which may have been of another kind. */
    @Test
    fun `a new process gets no work before its own capacity is listed`() {
        val sim = simulation(backends = 1)
        val old = sim.backends.getValue("b0")
        sim.crash("b0")
        val smaller = Resources(8 * SimulatedBackends.MILLIS, 64_000, 0)
        sim.backends["b0"] = sim.Backend(old.info.copy(incarnation = 2, capacity = smaller), 1.0)
        sim.run(untilMs = 900)
        sim.submit(sim.job("j", tasks = 2, estimateMs = 50), timeoutMs = 5_000, progress = notStarted)
        sim.run(untilMs = 2_500)
        sim.starts shouldBe 0
        sim.listAll()
        sim.run(untilMs = 4_000)
        sim.overloadMillis shouldBe 0
        sim.results[JobId("j")] shouldBe JobResult.Complete
    }

    /** Guards against telling callers that a job can never run when the capacity for it is away for a moment. */
    @Test
    fun `a job that fits after the capacity has grown again is refused with a retry time`() {
        val sim = simulation(backends = 1)
        sim.resize("b0", cores = 4)
        sim.submit(sim.job("j", tasks = 1))
        val result = sim.results[JobId("j")].shouldBeInstanceOf<JobResult.NotRun>()
        result.code shouldBe NotRunCode.OVERLOAD
        (result.retryAfterMs != null) shouldBe true
    }

    /** Guards against a new owner that does not see the runs which the previous one has just stopped. */
    @Test
    fun `a new owner leaves the capacity of runs that are being stopped`() {
        val sim = simulation(backends = 1)
        sim.listsStoppingRuns = false
        sim.workMs = { 5_000 }
        sim.submit(sim.job("stopped", tasks = 2, estimateMs = 5_000), timeoutMs = 20_000)
        sim.run(untilMs = 1_000)
        sim.dispatcher.cancelForAll(JobId("stopped"))
        sim.run(untilMs = 1_002)
        sim.replaceOwner(token = 2)
        sim.submit(sim.job("next", tasks = 2, estimateMs = 5_000), timeoutMs = 20_000, progress = notStarted)
        sim.run(untilMs = 2_000)
        sim.backends.getValue("b0").running.size shouldBe 2
        sim.overloadMillis shouldBe 0
    }

    /** Guards against the capacity of the former process when the list reports another one before a poll does. */
    @Test
    fun `a new process that the list reports first is used up to its own capacity`() {
        val sim = simulation(backends = 1)
        sim.workMs = { 2_000 }
        val old = sim.backends.getValue("b0")
        sim.crash("b0")
        val smaller = old.info.copy(incarnation = 2, capacity = Resources(8 * SimulatedBackends.MILLIS, 64_000, 0))
        sim.backends["b0"] = sim.Backend(smaller, 1.0)
        sim.listAll()
        sim.run(untilMs = 1_500)
        sim.submit(sim.job("j", tasks = 2, estimateMs = 2_000), timeoutMs = 9_000, progress = notStarted)
        sim.run(untilMs = 2_500)
        sim.starts shouldBe 1
        sim.overloadMillis shouldBe 0
    }
}
