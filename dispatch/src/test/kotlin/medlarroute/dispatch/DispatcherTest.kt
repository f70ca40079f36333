package medlarroute.dispatch

import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.junit.jupiter.api.Test

/** At most one run of a task is active at a time, also if commands, owners or backend servers fail. */
class DispatcherTest {
    private fun simulation(
        backends: Int = 4,
        domains: Set<String> = setOf("d1"),
        settings: DispatchSettings = DispatchSettings(),
    ) =
        SimulatedBackends(failureDomains = domains, settings = settings).apply {
            configure(SimulatedBackends.queue())
            repeat(backends) { add("b$it") }
            takeOver()
            run(untilMs = 100)
        }

    @Test
    fun `a job on idle backend servers ends within a few milliseconds of its work`() {
        val sim = simulation()
        sim.submit(sim.job("j", tasks = 8))
        sim.run(untilMs = 300)
        sim.results[JobId("j")] shouldBe JobResult.Complete
        sim.resultAtMs.getValue(JobId("j")) shouldBeLessThan 160L
    }

    @Test
    fun `a step starts only after the steps before it are done`() {
        val sim = simulation()
        val startedSteps = ArrayList<Int>()
        sim.workMs = { task ->
            startedSteps += task.step
            50
        }
        val demand = Resources(1_000, 64, 0)
        val steps = listOf(StepRequest(3, demand, 50), StepRequest(2, demand, 50, after = listOf(0)))
        sim.submit(sim.job("j", steps))
        sim.run(untilMs = 130)
        startedSteps shouldBe listOf(0, 0, 0)
        sim.run(untilMs = 400)
        startedSteps shouldBe listOf(0, 0, 0, 1, 1)
        sim.results[JobId("j")] shouldBe JobResult.Complete
    }

    /** Guards against treating a start without a response as not started while it may still be carried out. */
    @Test
    fun `a start that is carried out late never runs at the same time as its retry`() {
        val sim = simulation()
        var late = 0
        sim.lateByMs = { command -> if (command.run == 1 && command.task.index % 2 == 0) 50L + 40L * late++ else null }
        sim.submit(sim.job("j", tasks = 8))
        sim.run(untilMs = 3_000)
        sim.concurrentRuns.shouldBeEmpty()
        sim.results[JobId("j")] shouldBe JobResult.Complete
    }

    /**
     * Guards against a second run within the lease, and against polls without a response that extend the lease, so
     * that the tasks never start again.
     */
    @Test
    fun `tasks of an unreachable backend server start elsewhere only after the lease`() {
        val sim = simulation()
        sim.workMs = { 3_000 }
        sim.submit(sim.job("j", tasks = 4, estimateMs = 3_000), timeoutMs = 20_000)
        sim.run(untilMs = 200)
        sim.backends.getValue("b0").partitioned = true
        sim.run(untilMs = 6_000)
        sim.concurrentRuns.shouldBeEmpty()
        sim.results[JobId("j")] shouldBe JobResult.Complete
    }

    /** Guards against a new owner that starts the tasks of a resubmitted job again while they run. */
    @Test
    fun `a new owner adopts the runs of the previous one`() {
        val sim = SimulatedBackends().apply {
            configure(SimulatedBackends.queue())
            repeat(4) { add("b$it") }
        }
        val request = sim.job("j", tasks = 4, estimateMs = 400)
        sim.workMs = { 400 }
        for (index in 0 until 4) {
            val backend = sim.backends.getValue("b$index")
            val start = StartCommand(backend.info, TaskKey(JobId("j"), 0, index), 7, "payload", 1, 1_000)
            backend.start(start, request.steps[0].demand)
            backend.leaseUntilMs = 800
        }
        sim.takeOver(token = 2)
        sim.submit(request, progress = JobProgress())
        sim.run(untilMs = 1_500)
        sim.starts shouldBe 4
        sim.concurrentRuns.shouldBeEmpty()
        sim.results[JobId("j")] shouldBe JobResult.Complete
    }

    /**
     * Guards against a second run on another backend server. At the end of a partition, the list did not contain the
     * backend servers that had been cut off, since their entries had expired.
     */
    @Test
    fun `a resumed job waits for runs on backend servers that are not listed`() {
        val sim = simulation()
        val cut = sim.backends.getValue("b0")
        sim.dispatcher.updateBackends(sim.backends.values.filter { it !== cut }.map { it.info })
        sim.run(untilMs = 3_000)
        val request = sim.job("j", tasks = 1, estimateMs = 500)
        sim.workMs = { 500 }
        cut.start(StartCommand(cut.info, TaskKey(JobId("j"), 0, 0), 1, "payload", 1, 3_200), request.steps[0].demand)
        cut.leaseUntilMs = 3_800
        sim.submit(request, progress = JobProgress())
        sim.run(untilMs = 6_000)
        sim.concurrentRuns.shouldBeEmpty()
        sim.results[JobId("j")] shouldBe JobResult.Complete
    }

    /** Guards against abandoning a run whose backend server is listed again within the lease, as after a partition. */
    @Test
    fun `a run on a backend server that is listed again is adopted`() {
        val sim = simulation()
        sim.workMs = { 3_000 }
        sim.submit(sim.job("j", tasks = 4, estimateMs = 3_000), timeoutMs = 20_000)
        sim.run(untilMs = 300)
        val unlisted = sim.backends.values.first { it.running.isNotEmpty() }
        sim.dispatcher.updateBackends(sim.backends.values.filter { it !== unlisted }.map { it.info })
        sim.run(sim.nowMs + 500)
        sim.listAll()
        sim.run(untilMs = 10_000)
        sim.concurrentRuns.shouldBeEmpty()
        sim.starts shouldBe 4
        sim.results[JobId("j")] shouldBe JobResult.Complete
    }

    /**
     * Guards against a stale list, which in a soak test still named the previous process of a backend server after a
     * poll had reported the new one. The runs of the new process were abandoned.
     */
    @Test
    fun `a list that is older than a poll does not replace a backend server`() {
        val sim = simulation(backends = 2, settings = DispatchSettings(slowStartMs = 0))
        val listedBefore = sim.backends.mapValues { it.value.info }
        listedBefore.keys.forEach(sim::crash)
        sim.run(untilMs = 600)
        sim.workMs = { 400 }
        val request = sim.job("j", tasks = 6, cpuMillis = 4_000, estimateMs = 400)
        sim.submit(request, timeoutMs = 5_000)
        sim.run(sim.nowMs + 100)
        val busiest = sim.backends.values.maxBy { it.running.size }.info.id
        val listed = sim.backends.mapValues { it.value.info } + (busiest to listedBefore.getValue(busiest))
        sim.dispatcher.updateBackends(listed.values)
        sim.run(sim.nowMs + 2_000)
        sim.concurrentRuns.shouldBeEmpty()
        sim.starts shouldBe 6
        sim.results[JobId("j")] shouldBe JobResult.Complete
    }

    /** Guards against asking a backend server that has gone every quarter of a second until its entry expires. */
    @Test
    fun `a backend server whose address another process has is rarely polled`() {
        val sim = simulation(backends = 2)
        sim.restartsUnderNewId = true
        val former = sim.backends.getValue("b0").info
        sim.backends.getValue("b0").stopProcess()
        sim.run(untilMs = 3_500)
        sim.dispatcher.updateBackends(sim.backends.values.map { it.info } + former)
        val pollsBefore = sim.polls["b0"] ?: 0
        sim.run(untilMs = 7_500)
        ((sim.polls["b0"] ?: 0) - pollsBefore) shouldBeLessThan 4
        sim.events.count { it.startsWith("backend replaced backend b0") } shouldBe 1
        sim.submit(sim.job("j", tasks = 4))
        sim.run(untilMs = 8_000)
        sim.results[JobId("j")] shouldBe JobResult.Complete
    }

    /** Guards against comparing incarnations: the clock of a machine may be set back between two processes. */
    @Test
    fun `a new process with an earlier start time replaces the previous one`() {
        val sim = simulation(backends = 1, settings = DispatchSettings(slowStartMs = 0))
        sim.crash("b0")
        val back = sim.backends.getValue("b0")
        sim.backends["b0"] = sim.Backend(back.info.copy(incarnation = 0L - 5), 1.0)
        sim.run(untilMs = 600)
        sim.submit(sim.job("j", tasks = 2))
        sim.run(sim.nowMs + 500)
        sim.results[JobId("j")] shouldBe JobResult.Complete
    }

    /**
     * Guards against an incident in which two unreachable backend servers delayed every new job for 1 s after a
     * takeover.
     */
    @Test
    fun `after a takeover new jobs start while some backend servers are unreachable`() {
        val sim = SimulatedBackends()
        sim.configure(SimulatedBackends.queue())
        repeat(4) { sim.add("b$it") }
        sim.backends.getValue("b3").partitioned = true
        sim.takeOver(token = 2)
        sim.run(untilMs = 50)
        sim.submit(sim.job("j", tasks = 2))
        sim.run(untilMs = 200)
        sim.results[JobId("j")] shouldBe JobResult.Complete
    }

    /** Guards against a planned handover that delays the jobs until unknown runs have ended. */
    @Test
    fun `tasks that the previous owner has not dispatched start immediately`() {
        val sim = simulation()
        val request = sim.job("j", tasks = 2)
        sim.submit(request, progress = JobProgress(ordered = emptyList()))
        sim.run(untilMs = 200)
        sim.results[JobId("j")] shouldBe JobResult.Complete
    }

    /** Guards against starting a resubmitted job while the runs of its first attempt are still being stopped. */
    @Test
    fun `a resubmitted job waits until the runs of its first attempt have ended`() {
        val sim = simulation()
        sim.workMs = { 500 }
        val request = sim.job("j", tasks = 4, estimateMs = 500)
        sim.submit(request)
        sim.run(untilMs = 150)
        val withdrawn = sim.dispatcher.onInstanceLost("i1").single()
        withdrawn.third.ordered?.size shouldBe 4
        sim.submit(request)
        sim.run(untilMs = 2_000)
        sim.concurrentRuns.shouldBeEmpty()
        sim.results[JobId("j")] shouldBe JobResult.Complete
    }

    /** A job that runs on all backend servers of two failure domains, and a free backend server in the first. */
    private fun jobInTwoDomains(): SimulatedBackends {
        val sim = SimulatedBackends(failureDomains = setOf("d1", "d2")).apply {
            configure(SimulatedBackends.queue())
            add("b0", domain = "d1")
            repeat(2) { add("b${it + 1}", domain = "d2") }
            takeOver()
            run(untilMs = 100)
            workMs = { 2_000 }
            submit(job("j", tasks = 6, estimateMs = 2_000), timeoutMs = 20_000)
            run(untilMs = 150)
            add("free", domain = "d1")
            listAll()
            run(untilMs = 200)
        }
        sim.backends.values.count { it.running.isNotEmpty() } shouldBe 3
        return sim
    }

    /**
     * Guards against a second run beside one in a released failure domain: the next owner there extends the leases of
     * runs whose jobs it does not know, and stops them only after a grace period.
     */
    @Test
    fun `a task in a released failure domain starts again only after the next owner has stopped its run`() {
        val sim = jobInTwoDomains()
        val released = sim.backends.values.filter { it.info.failureDomain == "d2" }
        released.forEach {
            it.token = 2
            it.leaseUntilMs = sim.nowMs + 1_500
        }
        sim.after(1_400) {
            released.forEach { backend ->
                backend.running.toList().forEach { (task, run) -> backend.end(task, run, RunOutcome.STOPPED) }
            }
        }
        sim.dispatcher.release("d2")
        sim.run(untilMs = 15_000)
        sim.concurrentRuns.shouldBeEmpty()
        sim.results[JobId("j")] shouldBe JobResult.Complete
    }

    /**
     * Guards against a second run in a partition: the owner on the other side extends the leases of runs that it does
     * not know, on backend servers that this owner can no longer reach, and stops them only after a grace period.
     */
    @Test
    fun `when instances are lost, tasks of unreachable backend servers wait for another owner to stop their runs`() {
        val sim = jobInTwoDomains()
        val cut = sim.backends.values.filter { it.info.failureDomain == "d2" }
        cut.forEach { it.partitioned = true }
        sim.after(400) { sim.dispatcher.onInstanceLost("i2") }
        sim.after(500) {
            cut.forEach {
                it.token = 2
                it.leaseUntilMs = sim.nowMs + 1_400
            }
        }
        sim.after(1_500) {
            cut.forEach { backend ->
                backend.running.toList().forEach { (task, run) -> backend.end(task, run, RunOutcome.STOPPED) }
            }
        }
        sim.run(untilMs = 15_000)
        sim.concurrentRuns.shouldBeEmpty()
        sim.results[JobId("j")] shouldBe JobResult.Complete
    }

    /**
     * Guards against a second run beside one on a backend server that was not listed when its failure domain was
     * released: the next owner lists it, extends its lease and stops the run only after a grace period.
     */
    @Test
    fun `a task on an unlisted backend server waits for the next owner of its failure domain, too`() {
        val sim = jobInTwoDomains()
        val released = sim.backends.values.filter { it.info.failureDomain == "d2" }
        sim.dispatcher.updateBackends(sim.backends.values.filter { it !in released }.map { it.info })
        sim.run(untilMs = 700)
        sim.dispatcher.release("d2")
        released.forEach {
            it.token = 2
            it.leaseUntilMs = sim.nowMs + 1_100
        }
        sim.after(1_000) {
            released.forEach { backend ->
                backend.running.toList().forEach { (task, run) -> backend.end(task, run, RunOutcome.STOPPED) }
            }
        }
        sim.run(untilMs = 15_000)
        sim.concurrentRuns.shouldBeEmpty()
        sim.results[JobId("j")] shouldBe JobResult.Complete
    }

    /** Guards against waiting for the lease of runs that were stopped when their failure domain was released. */
    @Test
    fun `tasks in a released failure domain start again as soon as their runs are stopped`() {
        val sim = jobInTwoDomains()
        sim.dispatcher.release("d2")
        sim.run(untilMs = 250)
        sim.backends.values.filter { it.info.failureDomain == "d2" }.flatMap { it.running.keys }.shouldBeEmpty()
        sim.run(untilMs = 350)
        sim.backends.getValue("free").running.size shouldBe 2
        sim.concurrentRuns.shouldBeEmpty()
    }

    /** Guards against continuing a job that its instance has sent to another owner while the connection was broken. */
    @Test
    fun `jobs that an instance no longer has open here are withdrawn`() {
        val sim = simulation()
        sim.workMs = { 500 }
        listOf("kept", "moved").forEach { sim.submit(sim.job(it, tasks = 1, estimateMs = 500)) }
        sim.run(untilMs = 150)
        sim.dispatcher.retainRequests("i1", setOf("kept".hashCode().toLong()))
        sim.run(untilMs = 1_000)
        sim.results[JobId("kept")] shouldBe JobResult.Complete
        sim.results.containsKey(JobId("moved")) shouldBe false
        sim.backends.values.flatMap { it.running.keys }.shouldBeEmpty()
    }

    @Test
    fun `runs that belong to no job are stopped`() {
        val sim = simulation()
        val backend = sim.backends.getValue("b0")
        val command = StartCommand(backend.info, TaskKey(JobId("old"), 0, 0), 1, "payload", 1, 1_000)
        sim.workMs = { 60_000 }
        backend.start(command, Resources(1_000, 64, 0))
        sim.run(untilMs = 1_000)
        backend.running.keys.shouldBeEmpty()
    }

    @Test
    fun `a hung run is stopped and its task runs elsewhere`() {
        val sim = simulation()
        sim.backends.getValue("b0").hung = true
        sim.submit(sim.job("j", tasks = 8))
        sim.run(untilMs = 3_000)
        sim.concurrentRuns.shouldBeEmpty()
        sim.results[JobId("j")] shouldBe JobResult.Complete
        sim.events.filter { it.startsWith("dispatch run-hung") }.shouldNotBeEmpty()
    }

    @Test
    fun `a job fails once a task has reached the maximum number of failures of its queue`() {
        val sim = simulation()
        sim.outcome = { task, _ -> if (task.index == 2) RunOutcome.FAILED else RunOutcome.DONE }
        sim.submit(sim.job("j", tasks = 4))
        sim.run(untilMs = 2_000)
        sim.results[JobId("j")].shouldBeInstanceOf<JobResult.Failed>()
        sim.starts shouldBe 3 + 3
    }

    @Test
    fun `a backend server that fails all tasks is ejected and the jobs complete`() {
        val sim = simulation()
        sim.outcome = { _, backend -> if (backend.info.id == "b1") RunOutcome.FAILED else RunOutcome.DONE }
        repeat(10) { number ->
            sim.submit(sim.job("j$number", tasks = 2))
            sim.run(sim.nowMs + 100)
        }
        sim.run(sim.nowMs + 1_000)
        sim.results.values.toSet() shouldBe setOf<JobResult>(JobResult.Complete)
    }

    @Test
    fun `a job that fits on no backend server is refused immediately as not run`() {
        val sim = simulation()
        sim.submit(sim.job("j", tasks = 1, cpuMillis = 99_000))
        val result = sim.results[JobId("j")].shouldBeInstanceOf<JobResult.NotRun>()
        result.code shouldBe NotRunCode.CAN_NEVER_RUN
        sim.starts shouldBe 0
    }

    @Test
    fun `an owner whose token is too low is fenced and starts nothing`() {
        val sim = simulation()
        sim.backends.values.forEach { it.token = 99 }
        sim.submit(sim.job("j", tasks = 2))
        sim.run(untilMs = 1_000)
        sim.starts shouldBe 0
        sim.fenced.shouldNotBeEmpty()
    }
}
