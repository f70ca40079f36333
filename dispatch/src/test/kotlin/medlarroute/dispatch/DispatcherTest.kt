package medlarroute.dispatch

import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.junit.jupiter.api.Test

/** Runs of tasks: one at a time, whatever happens to orders, owners and backend servers. */
class DispatcherTest {
    private fun world(backends: Int = 4, domains: Set<String> = setOf("d1")) =
        SimulatedBackends(failureDomains = domains).apply {
            configure(SimulatedBackends.queue())
            repeat(backends) { add("b$it") }
            takeOver()
            run(untilMs = 100)
        }

    @Test
    fun `a job on idle backend servers ends within a few milliseconds of its work`() {
        val world = world()
        world.submit(world.job("j", tasks = 8))
        world.run(untilMs = 300)
        world.results[JobId("j")] shouldBe JobResult.Complete
        world.resultAtMs.getValue(JobId("j")) shouldBeLessThan 160L
    }

    @Test
    fun `a step starts only after the steps before it are done`() {
        val world = world()
        val order = ArrayList<Int>()
        world.workMs = { task ->
            order += task.step
            50
        }
        val demand = Resources(1_000, 64, 0)
        val steps = listOf(StepRequest(3, demand, 50), StepRequest(2, demand, 50, after = listOf(0)))
        world.submit(world.job("j", steps))
        world.run(untilMs = 130)
        order shouldBe listOf(0, 0, 0)
        world.run(untilMs = 400)
        order shouldBe listOf(0, 0, 0, 1, 1)
        world.results[JobId("j")] shouldBe JobResult.Complete
    }

    /** Fails if a start without an answer is taken as not started while it may still be carried out. */
    @Test
    fun `a start that is carried out late never runs beside its repeat`() {
        val world = world()
        var late = 0
        world.lateByMs = { order -> if (order.run == 1 && order.task.index % 2 == 0) 50L + 40L * late++ else null }
        world.submit(world.job("j", tasks = 8))
        world.run(untilMs = 3_000)
        world.doubleRuns.shouldBeEmpty()
        world.results[JobId("j")] shouldBe JobResult.Complete
    }

    /** Fails if these tasks start within the lease, or never, as when looks without an answer lengthen the lease. */
    @Test
    fun `tasks on a backend server out of reach start elsewhere only after the lease`() {
        val world = world()
        world.workMs = { 3_000 }
        world.submit(world.job("j", tasks = 4, estimateMs = 3_000), timeoutMs = 20_000)
        world.run(untilMs = 200)
        world.backends.getValue("b0").cutOff = true
        world.run(untilMs = 6_000)
        world.doubleRuns.shouldBeEmpty()
        world.results[JobId("j")] shouldBe JobResult.Complete
    }

    /** Fails if a new owner starts the tasks of a resubmitted job again while they run. */
    @Test
    fun `a new owner adopts the runs of the one before`() {
        val world = SimulatedBackends().apply {
            configure(SimulatedBackends.queue())
            repeat(4) { add("b$it") }
        }
        val request = world.job("j", tasks = 4, estimateMs = 400)
        world.workMs = { 400 }
        for (index in 0 until 4) {
            val backend = world.backends.getValue("b$index")
            val start = StartCommand(backend.info, TaskKey(JobId("j"), 0, index), 7, "payload", 1, 1_000)
            backend.start(start, request.steps[0].demand)
            backend.leaseUntilMs = 800
        }
        world.takeOver(token = 2)
        world.submit(request, progress = JobProgress())
        world.run(untilMs = 1_500)
        world.starts shouldBe 4
        world.doubleRuns.shouldBeEmpty()
        world.results[JobId("j")] shouldBe JobResult.Complete
    }

    /** Seen at the heal of a partition: the entries of backend servers that were cut off had lapsed. */
    @Test
    fun `a resumed job waits for runs on backend servers that are not listed`() {
        val world = world()
        val cut = world.backends.getValue("b0")
        world.dispatcher.listBackends(world.backends.values.filter { it !== cut }.map { it.info })
        world.run(untilMs = 3_000)
        val request = world.job("j", tasks = 1, estimateMs = 500)
        world.workMs = { 500 }
        cut.start(StartCommand(cut.info, TaskKey(JobId("j"), 0, 0), 1, "payload", 1, 3_200), request.steps[0].demand)
        cut.leaseUntilMs = 3_800
        world.submit(request, progress = JobProgress())
        world.run(untilMs = 6_000)
        world.doubleRuns.shouldBeEmpty()
        world.results[JobId("j")] shouldBe JobResult.Complete
    }

    /** Seen after a partition: the entry of a backend server came back within the lease of its runs. */
    @Test
    fun `a run on a backend server that is listed again is taken up`() {
        val world = world()
        world.workMs = { 3_000 }
        world.submit(world.job("j", tasks = 4, estimateMs = 3_000), timeoutMs = 20_000)
        world.run(untilMs = 300)
        val lapsed = world.backends.values.first { it.running.isNotEmpty() }
        world.dispatcher.listBackends(world.backends.values.filter { it !== lapsed }.map { it.info })
        world.run(world.nowMs + 600)
        world.listAll()
        world.run(untilMs = 10_000)
        world.doubleRuns.shouldBeEmpty()
        world.starts shouldBe 4
        world.results[JobId("j")] shouldBe JobResult.Complete
    }

    /** Seen in the fault soak: the list named the process that a look had shown to be gone; its runs were given up. */
    @Test
    fun `a list that is older than a look does not replace a backend server`() {
        val world = world(backends = 2)
        val listedBefore = world.backends.mapValues { it.value.info }
        listedBefore.keys.forEach(world::crash)
        world.run(untilMs = 600)
        world.workMs = { 400 }
        val request = world.job("j", tasks = 6, cpuMillis = 4_000, estimateMs = 400)
        world.submit(request, timeoutMs = 5_000)
        world.run(world.nowMs + 100)
        val busiest = world.backends.values.maxBy { it.running.size }.info.id
        val listed = world.backends.mapValues { it.value.info } + (busiest to listedBefore.getValue(busiest))
        world.dispatcher.listBackends(listed.values)
        world.run(world.nowMs + 2_000)
        world.doubleRuns.shouldBeEmpty()
        world.starts shouldBe 6
        world.results[JobId("j")] shouldBe JobResult.Complete
    }

    /** The clock of a machine may be set back between two processes. */
    @Test
    fun `a process that started at an earlier time of day is the new one`() {
        val world = world(backends = 1)
        world.crash("b0")
        val back = world.backends.getValue("b0")
        world.backends["b0"] = world.Backend(back.info.copy(incarnation = 0L - 5), 1.0)
        world.run(untilMs = 600)
        world.submit(world.job("j", tasks = 2))
        world.run(world.nowMs + 500)
        world.results[JobId("j")] shouldBe JobResult.Complete
    }

    /** Seen in an incident: two backend servers out of reach held up every new job for a second after a takeover. */
    @Test
    fun `after a takeover new jobs start while some backend servers are out of reach`() {
        val world = SimulatedBackends()
        world.configure(SimulatedBackends.queue())
        repeat(4) { world.add("b$it") }
        world.backends.getValue("b3").cutOff = true
        world.takeOver(token = 2)
        world.run(untilMs = 50)
        world.submit(world.job("j", tasks = 2))
        world.run(untilMs = 200)
        world.results[JobId("j")] shouldBe JobResult.Complete
    }

    /** Fails if a planned handover costs the jobs the wait for unknown runs. */
    @Test
    fun `tasks that a previous owner has not ordered start at once`() {
        val world = world()
        val request = world.job("j", tasks = 2)
        world.submit(request, progress = JobProgress(ordered = emptyList()))
        world.run(untilMs = 200)
        world.results[JobId("j")] shouldBe JobResult.Complete
    }

    /** Fails if the repeat of a withdrawn job starts while stops of the first attempt are under way. */
    @Test
    fun `a repeated job waits until the runs of its first attempt have ended`() {
        val world = world()
        world.workMs = { 500 }
        val request = world.job("j", tasks = 4, estimateMs = 500)
        world.submit(request)
        world.run(untilMs = 150)
        val known = world.dispatcher.originLost("i1").single()
        known.third.ordered?.size shouldBe 4
        world.submit(request)
        world.run(untilMs = 2_000)
        world.doubleRuns.shouldBeEmpty()
        world.results[JobId("j")] shouldBe JobResult.Complete
    }

    /** Fails if a job goes on here that its entry has given to another owner while the connection was broken. */
    @Test
    fun `jobs that an instance no longer has here are withdrawn`() {
        val world = world()
        world.workMs = { 500 }
        listOf("kept", "given").forEach { world.submit(world.job(it, tasks = 1, estimateMs = 500)) }
        world.run(untilMs = 150)
        world.dispatcher.retain("i1", setOf("kept".hashCode().toLong()))
        world.run(untilMs = 1_000)
        world.results[JobId("kept")] shouldBe JobResult.Complete
        world.results.containsKey(JobId("given")) shouldBe false
        world.backends.values.flatMap { it.running.keys }.shouldBeEmpty()
    }

    @Test
    fun `runs that no job accounts for are stopped`() {
        val world = world()
        val backend = world.backends.getValue("b0")
        val order = StartCommand(backend.info, TaskKey(JobId("old"), 0, 0), 1, "payload", 1, 1_000)
        world.workMs = { 60_000 }
        backend.start(order, Resources(1_000, 64, 0))
        world.run(untilMs = 1_000)
        backend.running.keys.shouldBeEmpty()
    }

    @Test
    fun `a hung run is stopped and its task runs elsewhere`() {
        val world = world()
        world.backends.getValue("b0").hung = true
        world.submit(world.job("j", tasks = 8))
        world.run(untilMs = 3_000)
        world.doubleRuns.shouldBeEmpty()
        world.results[JobId("j")] shouldBe JobResult.Complete
        world.events.filter { it.startsWith("dispatch run-hung") }.shouldNotBeEmpty()
    }

    @Test
    fun `a job fails once a task has failed as often as its queue allows`() {
        val world = world()
        world.outcome = { task, _ -> if (task.index == 2) RunOutcome.FAILED else RunOutcome.DONE }
        world.submit(world.job("j", tasks = 4))
        world.run(untilMs = 2_000)
        world.results[JobId("j")].shouldBeInstanceOf<JobResult.Failed>()
        world.starts shouldBe 3 + 3
    }

    @Test
    fun `a backend server that fails everything is left alone and the jobs complete`() {
        val world = world()
        world.outcome = { _, backend -> if (backend.info.id == "b1") RunOutcome.FAILED else RunOutcome.DONE }
        repeat(10) { number ->
            world.submit(world.job("j$number", tasks = 2))
            world.run(world.nowMs + 100)
        }
        world.run(world.nowMs + 1_000)
        world.results.values.toSet() shouldBe setOf<JobResult>(JobResult.Complete)
    }

    @Test
    fun `a job that fits nowhere is refused at once as not run`() {
        val world = world()
        world.submit(world.job("j", tasks = 1, cpuMillis = 99_000))
        val result = world.results[JobId("j")].shouldBeInstanceOf<JobResult.NotRun>()
        result.code shouldBe NotRunCode.CAN_NEVER_RUN
        world.starts shouldBe 0
    }

    @Test
    fun `an owner whose token is too low says so and starts nothing`() {
        val world = world()
        world.backends.values.forEach { it.token = 99 }
        world.submit(world.job("j", tasks = 2))
        world.run(untilMs = 1_000)
        world.starts shouldBe 0
        world.fenced.shouldNotBeEmpty()
    }
}
