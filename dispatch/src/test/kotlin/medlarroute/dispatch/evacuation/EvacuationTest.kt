package medlarroute.dispatch.evacuation

import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import medlarroute.dispatch.JobId
import medlarroute.dispatch.JobProgress
import medlarroute.dispatch.JobResult
import medlarroute.dispatch.NotRunCode
import medlarroute.dispatch.SimulatedBackends
import org.junit.jupiter.api.Test

/** What an owner does in an evacuated failure domain. */
class EvacuationTest {
    private fun simulation(domains: Set<String> = setOf("d1")) = SimulatedBackends(failureDomains = domains).apply {
        configure(SimulatedBackends.queue(objectiveMs = 5_000))
        domains.forEach { add("b-$it", domain = it, cores = 16) }
        takeOver()
        run(untilMs = 100)
    }

    /** Two tasks fill a backend server. */
    private fun SimulatedBackends.newJob(id: String, tasks: Int, estimateMs: Long = 50) =
        job(id, tasks, cpuMillis = 8_000, estimateMs = estimateMs)

    private fun SimulatedBackends.evacuate(vararg domains: String) = dispatcher.evacuation.evacuate(
        domains.toSet(),
        nowMs,
    )

    private fun SimulatedBackends.moveJobs(vararg owners: String) =
        dispatcher.evacuation.moveJobs(owners.toList(), nowMs)

    /** Guards against a start after the operators have been told that none follows. */
    @Test
    fun `no task starts in an evacuated failure domain and those that run there end`() {
        val sim = simulation()
        sim.workMs = { 1_500 }
        sim.submit(sim.newJob("j", tasks = 2, estimateMs = 1_500), timeoutMs = 9_000)
        sim.run(untilMs = 150)
        sim.evacuate("d1")
        sim.submit(sim.newJob("k", tasks = 1), timeoutMs = 9_000)
        sim.submit(sim.newJob("l", tasks = 1), timeoutMs = 9_000, progress = JobProgress(ordered = emptyList()))
        sim.run(untilMs = 3_000)
        sim.starts shouldBe 2
        sim.results[JobId("j")] shouldBe JobResult.Complete
    }

    /** Guards against callers that wait in vain, or that are told to give up. */
    @Test
    fun `a new job is refused immediately as not run with a retry time`() {
        val sim = simulation()
        sim.evacuate("d1")
        sim.submit(sim.newJob("j", tasks = 1))
        val refusal = sim.results[JobId("j")].shouldBeInstanceOf<JobResult.NotRun>()
        refusal.code shouldBe NotRunCode.OVERLOAD
        refusal.retryAfterMs.shouldNotBeNull()
        sim.dispatcher.evacuation.startsAvoided shouldBe 1
    }

    /** Guards against entries that choose the owner since its backend servers are idle. */
    @Test
    fun `an evacuated failure domain is no capacity`() {
        val sim = simulation()
        sim.dispatcher.loadPercent() shouldBe 0
        sim.evacuate("d1")
        sim.dispatcher.loadPercent() shouldBe 100
    }

    /** Guards against a single owner that refuses all jobs when one failure domain is evacuated. */
    @Test
    fun `an owner of several failure domains uses the others`() {
        val sim = simulation(setOf("d1", "d2"))
        sim.evacuate("d1")
        sim.submit(sim.newJob("j", tasks = 2))
        sim.moveJobs("o2")
        sim.run(untilMs = 400)
        sim.results[JobId("j")] shouldBe JobResult.Complete
        sim.startsByTask.size shouldBe 2
        sim.trace.none { "server b-d1 starts" in it } shouldBe true
        sim.moved.shouldBeEmpty()
    }

    /** Guards against the same if the backend server is not known yet, as after a takeover. */
    @Test
    fun `a backend server that is listed during the evacuation is not used`() {
        val sim = simulation(setOf("d1", "d2"))
        sim.evacuate("d1")
        sim.add("new", domain = "d1")
        sim.listAll()
        sim.run(untilMs = 200)
        sim.submit(sim.newJob("j", tasks = 4))
        sim.run(untilMs = 900)
        sim.results[JobId("j")] shouldBe JobResult.Complete
        sim.trace.none { "server new starts" in it } shouldBe true
    }

    @Test
    fun `after the evacuation tasks start again`() {
        val sim = simulation()
        sim.evacuate("d1")
        sim.run(untilMs = 500)
        sim.evacuate()
        sim.submit(sim.newJob("j", tasks = 2))
        sim.run(untilMs = 1_000)
        sim.results[JobId("j")] shouldBe JobResult.Complete
    }

    /** A job on both cores of the backend server and one that waits for them. */
    private fun simulationWithWaitingJob() = simulation().apply {
        workMs = { 400 }
        submit(newJob("running", tasks = 2, estimateMs = 400), timeoutMs = 9_000)
        run(untilMs = 110)
        submit(newJob("waiting", tasks = 1, estimateMs = 400), timeoutMs = 9_000)
        starts shouldBe 2
        dispatcher.openJobs shouldBe 2
        evacuate("d1")
    }

    /** Guards against queued jobs that wait until their callers' deadline. */
    @Test
    fun `a queued job moves to another owner and a running one stays`() {
        val sim = simulationWithWaitingJob()
        sim.moveJobs("o2", "o3")
        sim.moved shouldBe listOf(JobId("waiting") to "o2")
        sim.run(untilMs = 1_000)
        sim.results[JobId("running")] shouldBe JobResult.Complete
    }

    /** Guards against a refusal as "not run" of a job that may run, and against jobs without an answer. */
    @Test
    fun `without another owner a queued job is refused and a running one stays`() {
        val sim = simulationWithWaitingJob()
        sim.moveJobs()
        sim.results.keys shouldBe setOf(JobId("waiting"))
        sim.results[JobId("waiting")].shouldBeInstanceOf<JobResult.NotRun>().retryAfterMs.shouldNotBeNull()
        sim.run(untilMs = 1_000)
        sim.results[JobId("running")] shouldBe JobResult.Complete
    }

    /** Guards against a job that never ends, and one of which a task runs at two owners. */
    @Test
    fun `the rest of a job moves when its runs have ended`() {
        val sim = simulation()
        sim.workMs = { 300 }
        sim.submit(sim.newJob("j", tasks = 3, estimateMs = 300), timeoutMs = 9_000)
        sim.run(untilMs = 150)
        sim.starts shouldBe 2
        sim.evacuate("d1")
        sim.moveJobs("o2")
        sim.moved.shouldBeEmpty()
        sim.run(untilMs = 600)
        sim.moveJobs("o2")
        sim.moved shouldBe listOf(JobId("j") to "o2")
        sim.starts shouldBe 2
    }

    /** Guards against owners of evacuated failure domains that send a job back and forth without pause. */
    @Test
    fun `a job that was moved here is not moved on at once`() {
        val sim = simulation()
        sim.evacuate("d1")
        sim.submit(sim.newJob("j", tasks = 1), timeoutMs = 9_000, progress = JobProgress(ordered = emptyList()))
        sim.moveJobs("o2")
        sim.moved.shouldBeEmpty()
        sim.run(untilMs = 400)
        sim.moveJobs("o2")
        sim.moved shouldBe listOf(JobId("j") to "o2")
    }
}
