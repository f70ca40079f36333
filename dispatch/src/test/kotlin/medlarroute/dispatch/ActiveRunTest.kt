package medlarroute.dispatch

import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.junit.jupiter.api.Test

/** A task starts only when no other run of it may be active, whoever has started that run. */
class ActiveRunTest {
    private fun simulation(backends: Int = 4) = SimulatedBackends().apply {
        configure(SimulatedBackends.queue())
        repeat(backends) { add("b$it") }
        takeOver()
        run(untilMs = 100)
    }

    /**
     * Guards against a restart at the end of the lease that was known when the backend server first dropped out of the
     * list, while its run is active under a later lease. After a partition, two lists alternated.
     */
    @Test
    fun `a run on a backend server that drops out of the list twice is not restarted before its last lease ends`() {
        val sim = simulation()
        sim.workMs = { 3_000 }
        sim.submit(sim.job("j", tasks = 4, estimateMs = 3_000), timeoutMs = 20_000)
        sim.run(untilMs = 300)
        val unlisted = sim.backends.values.first { it.running.isNotEmpty() }
        val shortList = sim.backends.values.filter { it !== unlisted }.map { it.info }
        for (untilMs in listOf(500L, 1_300L)) {
            sim.dispatcher.updateBackends(shortList)
            sim.run(untilMs)
            sim.listAll()
            sim.run(sim.nowMs + 400)
        }
        sim.dispatcher.updateBackends(shortList)
        sim.run(untilMs = 10_000)
        sim.concurrentRuns.shouldBeEmpty()
        sim.results[JobId("j")] shouldBe JobResult.Complete
    }

    /** Guards against a second run of a task whose run has ended well while its backend server was not listed. */
    @Test
    fun `a run that ends while its backend server is not listed completes its task`() {
        val sim = simulation()
        sim.workMs = { 400 }
        sim.submit(sim.job("j", tasks = 4, estimateMs = 400), timeoutMs = 20_000)
        sim.run(untilMs = 300)
        val unlisted = sim.backends.values.first { it.running.isNotEmpty() }
        sim.dispatcher.updateBackends(sim.backends.values.filter { it !== unlisted }.map { it.info })
        sim.run(untilMs = 700)
        sim.listAll()
        sim.run(untilMs = 3_000)
        sim.starts shouldBe 4
        sim.results[JobId("j")] shouldBe JobResult.Complete
    }

    /**
     * Guards against a second run when a job that waits for capacity is joined by an instance whose owner before has
     * started it.
     */
    @Test
    fun `a job that is joined by one that may run elsewhere does not start beside those runs`() {
        val sim = simulation(backends = 1)
        sim.workMs = { 700 }
        sim.submit(sim.job("first", tasks = 2, estimateMs = 700), timeoutMs = 20_000)
        sim.run(untilMs = 200)
        val waiting = sim.job("j", tasks = 1, estimateMs = 50)
        sim.submit(waiting, timeoutMs = 20_000, progress = JobProgress(ordered = emptyList()))
        sim.run(untilMs = 300)
        val joined = JobProgress(highestRun = 7)
        sim.dispatcher.submit(waiting, JobOrigin("i2", 1), timeoutMs = 20_000, progress = joined)
        sim.run(untilMs = 300 + longestRunMs(DispatchSettings()))
        sim.startsByTask[TaskKey(waiting.id, 0, 0)] shouldBe null
        sim.run(untilMs = 3_000)
        sim.startsByTask[TaskKey(waiting.id, 0, 0)] shouldBe 1
    }

    /**
     * Guards against a start beside a run that the owner reads in every report and whose lease it extends, since the
     * job of the run was unknown when the run was to be stopped, and the stops were carried out late.
     */
    @Test
    fun `a job that is handed in again waits for a run of the previous owner whose stops are late`() {
        val sim = simulation()
        sim.workMs = { 4_000 }
        val request = sim.job("j", tasks = 1, estimateMs = 2_000)
        sim.submit(request, timeoutMs = 20_000)
        sim.run(untilMs = 300)
        var stops = 0
        sim.lateStopByMs = { if (++stops <= 3) 3_000 else null }
        sim.replaceOwner(token = 2)
        sim.run(untilMs = 700)
        sim.submit(request, timeoutMs = 20_000)
        sim.run(untilMs = 12_000)
        sim.concurrentRuns.shouldBeEmpty()
        sim.results[JobId("j")] shouldBe JobResult.Complete
        sim.events.filter { it.startsWith("dispatch start-delayed") }.shouldNotBeEmpty()
    }

    /**
     * Guards against a restart at the end of this owner's lease, which is shorter than the one that the previous owner
     * gave to an idle backend server just before the run started there.
     */
    @Test
    fun `an adopted run is not restarted before the lease of the previous owner ends`() {
        val sim = simulation(backends = 2)
        sim.workMs = { 5_000 }
        val request = sim.job("j", tasks = 2, cpuMillis = 12_000, estimateMs = 3_000)
        sim.submit(request, timeoutMs = 20_000)
        sim.run(untilMs = 300)
        sim.replaceOwner(token = 2)
        val cut = sim.backends.getValue("b0")
        cut.leaseUntilMs = sim.nowMs + 990
        sim.submit(request, timeoutMs = 20_000, progress = JobProgress())
        sim.run(untilMs = 330)
        cut.partitioned = true
        sim.add("free")
        sim.dispatcher.updateBackends(sim.backends.values.filter { it !== cut }.map { it.info })
        sim.run(untilMs = 20_000)
        sim.concurrentRuns.shouldBeEmpty()
        sim.results[JobId("j")] shouldBe JobResult.Complete
    }

    /** Guards against starting tasks of a job whose withdrawal has also arrived while the process was paused. */
    @Test
    fun `a job that was withdrawn during a pause is not started after it`() {
        val sim = simulation()
        val owner = sim.owners.single()
        val request = sim.job("j", tasks = 2)
        owner.isFrozen = true
        owner.deliver { owner.dispatcher.submit(request, JobOrigin("i1", 1), timeoutMs = 3_000) }
        owner.deliver { owner.dispatcher.onInstanceLost("i1") }
        sim.run(untilMs = 1_500)
        owner.isFrozen = false
        sim.run(untilMs = 2_000)
        sim.starts shouldBe 0
        sim.submit(sim.job("next", tasks = 2))
        sim.run(untilMs = 2_200)
        sim.results[JobId("next")] shouldBe JobResult.Complete
    }

    private fun twoOwnersAndAJob(): Pair<SimulatedBackends, JobRequest> {
        val sim = simulation(backends = 2)
        val other = sim.addOwner()
        sim.add("far", domain = "d2")
        sim.configure(other, SimulatedBackends.queue())
        other.dispatcher.acquire("d2", 1)
        other.dispatcher.updateBackends(sim.backends.values.map { it.info })
        sim.workMs = { 6_000 }
        val request = sim.job("j", tasks = 1, estimateMs = 3_000)
        sim.submit(request, timeoutMs = 20_000)
        sim.run(untilMs = 300)
        return sim to request
    }

    /**
     * Guards against a start by the owner of another failure domain, which does not see the reports that list the run
     * of the first attempt.
     */
    @Test
    fun `a job that is handed in at another owner waits for a run whose stops are late`() {
        val (sim, request) = twoOwnersAndAJob()
        var stops = 0
        sim.lateStopByMs = { if (++stops <= 4) 4_000 else null }
        sim.dispatcher.onInstanceLost("i1")
        sim.run(untilMs = 1_600)
        sim.owners.last().dispatcher.submit(request, JobOrigin("i2", 1), timeoutMs = 20_000)
        sim.run(untilMs = 15_000)
        sim.concurrentRuns.shouldBeEmpty()
        sim.results[JobId("j")] shouldBe JobResult.Complete
    }

    /** As above, for a run that the first owner took over and whose job it does not know. */
    @Test
    fun `a job that is handed in at another owner waits for a run that a dead owner has left`() {
        val (sim, request) = twoOwnersAndAJob()
        val other = sim.owners.last()
        var stops = 0
        sim.lateStopByMs = { if (++stops <= 4) 4_000 else null }
        sim.replaceOwner(token = 2)
        sim.run(untilMs = 1_600)
        other.dispatcher.submit(request, JobOrigin("i2", 1), timeoutMs = 20_000)
        sim.run(untilMs = 15_000)
        sim.concurrentRuns.shouldBeEmpty()
        sim.results[JobId("j")] shouldBe JobResult.Complete
    }

    /** Guards against "not run", after which the job would be sent to the owner of another failure domain. */
    @Test
    fun `a job of which an earlier attempt runs is not refused as not run`() {
        val sim = simulation(backends = 1)
        sim.workMs = { 3_000 }
        val request = sim.job("j", tasks = 2, estimateMs = 3_000)
        sim.submit(request, timeoutMs = 20_000)
        sim.run(untilMs = 300)
        sim.lateStopByMs = { 4_000 }
        sim.dispatcher.onInstanceLost("i1")
        sim.run(untilMs = 900)
        val queued = sim.job("queued", tasks = 8, estimateMs = 3_000)
        sim.submit(queued, timeoutMs = 20_000, progress = JobProgress(ordered = emptyList()))
        sim.submit(request, timeoutMs = 20_000)
        sim.results[JobId("j")].shouldBeInstanceOf<JobResult.Abandoned>()
    }
}
