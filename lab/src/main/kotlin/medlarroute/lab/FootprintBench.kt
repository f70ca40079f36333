package medlarroute.lab

import medlarroute.core.Answer
import medlarroute.core.BackendId
import medlarroute.core.BackendServer
import medlarroute.core.BackendUsage
import medlarroute.core.CallerId
import medlarroute.core.Effect
import medlarroute.core.Engine
import medlarroute.core.EngineSettings
import medlarroute.core.FailureCode
import medlarroute.core.FailureDomainId
import medlarroute.core.Incarnation
import medlarroute.core.Input
import medlarroute.core.InstanceId
import medlarroute.core.Job
import medlarroute.core.KindId
import medlarroute.core.Mechanism
import medlarroute.core.RegistrySettings
import medlarroute.core.Rules
import medlarroute.core.SubmissionId
import medlarroute.core.SubmissionRegistry
import medlarroute.core.TaskSpec
import java.lang.management.ManagementFactory
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTime

/**
 * Measures how the heap use and the build time of the core's data structures grow with their size, at three sizes each.
 *
 * `docs/CAPACITY.md` uses the results. The heap use is read after full garbage collections and includes everything in
 * the process, so nothing else should run in it.
 */
internal class FootprintBench(private val out: (String) -> Unit = ::println) {
    fun run() {
        out("%-28s %10s %14s %12s".format("part", "size", "heap KiB", "us per item"))
        registryRecords()
        registryTickets()
        backendServers()
        openTasks()
        endedTasks()
    }

    private fun registryRecords() =
        report("registry records", RECORD_COUNTS) { size ->
            val registry = newRegistry()
            val tickets = List(size / RECORDS_PER_TICKET) { checkNotNull(registry.openTicket(CALLER)) }
            for (ticket in tickets) {
                for (sequence in 1L..RECORDS_PER_TICKET) {
                    val submission = SubmissionId(ticket, sequence)
                    registry.begin(submission, CALLER, digest = sequence)
                    registry.end(submission, Answer.Failed(FailureCode.DEADLINE, ""))
                }
            }
            registry
        }

    private fun registryTickets() =
        report("registry tickets", TICKET_COUNTS) { size ->
            newRegistry().apply { repeat(size) { openTicket(CALLER) } }
        }

    private fun backendServers() =
        report("engine backend servers", BACKEND_COUNTS) { size -> newEngine(size) }

    private fun openTasks() =
        report("engine queued tasks", QUEUED_TASK_COUNTS) { size ->
            val engine = newEngine(backends = 1)
            val ticket = checkNotNull(newRegistry().openTicket(CALLER))
            repeat(size / TASKS_PER_JOB) { engine.tick(listOf(Input.Submit(job(SubmissionId(ticket, it + 1L))))) }
            engine
        }

    /** Tasks of jobs that have ended before their deadlines, while an older job is still open. */
    private fun endedTasks() =
        report("engine ended tasks", QUEUED_TASK_COUNTS) { size ->
            val engine = newEngine(backends = TASKS_PER_JOB)
            val ticket = checkNotNull(newRegistry().openTicket(CALLER))
            val oldest = job(SubmissionId(ticket, 1L)).copy(timeout = 30.seconds, tasks = listOf(TaskSpec("")))
            engine.tick(listOf(Input.Submit(oldest)))
            repeat(size / TASKS_PER_JOB) { complete(engine, job(SubmissionId(ticket, it + 2L))) }
            check(engine.openJobs == 1) { "only the oldest job should be open, but ${engine.openJobs} are" }
            engine
        }

    private fun complete(engine: Engine, job: Job) {
        var effects = engine.tick(listOf(Input.Submit(job)))
        while (engine.openJobs > 1) {
            val starts = effects.filterIsInstance<Effect.Start>()
            effects = engine.tick(starts.map { Input.TaskDone(it.task, "", 1.milliseconds, BackendUsage(0, SLOTS)) })
        }
    }

    private fun report(part: String, sizes: List<Int>, build: (Int) -> Any) {
        // Warm-up run, not measured.
        build(sizes.first())
        val points = sizes.map { size ->
            val before = usedHeapBytes()
            val state: Any
            val buildTime = measureTime { state = build(size) }
            val heapBytes = usedHeapBytes() - before
            // Uses the state after the measurement, so that it can't be collected before.
            check(state.hashCode() != 0 || heapBytes >= 0)
            val microsPerItem = buildTime.inWholeNanoseconds / NANOS_PER_MICRO / size
            out("%-28s %10d %14.1f %12.2f".format(part, size, heapBytes / BYTES_PER_KIB, microsPerItem))
            size.toDouble() to heapBytes.toDouble()
        }
        out("%-28s %10s %11.0f B each".format(part, "slope", LinearFit.fit(points).slope))
    }

    private fun newRegistry() =
        SubmissionRegistry(
            SubmissionRegistry.Home(DOMAIN, InstanceId("e1"), Incarnation(1)),
            RegistrySettings(maxTicketsPerCaller = 10_000),
        )

    private fun newEngine(backends: Int): Engine {
        val settings = EngineSettings(
            maxOpenJobsPerCaller = 1_000_000,
            maxOpenJobs = 1_000_000,
            disabled = setOf(Mechanism.ADMISSION),
        )
        val backendInputs = List(backends) {
            Input.BackendServing(BackendServer(BackendId("backend-$it"), DOMAIN, slots = SLOTS))
        }
        return Engine(settings).apply { tick(listOf(Input.RulesChanged(Rules(version = 1))) + backendInputs) }
    }

    private fun job(submission: SubmissionId) =
        Job(submission, CALLER, KindId("check"), 60.seconds, List(TASKS_PER_JOB) { TaskSpec("") })

    private fun usedHeapBytes(): Long {
        repeat(GC_ROUNDS) { System.gc() }
        return ManagementFactory.getMemoryMXBean().heapMemoryUsage.used
    }

    private companion object {
        val CALLER = CallerId("router")
        val DOMAIN = FailureDomainId("north")
        val RECORD_COUNTS = listOf(10_000, 30_000, 90_000)
        val TICKET_COUNTS = listOf(1_000, 3_000, 9_000)
        val BACKEND_COUNTS = listOf(32, 256, 910)
        val QUEUED_TASK_COUNTS = listOf(11_000, 33_000, 99_000)
        const val RECORDS_PER_TICKET = 100
        const val SLOTS = 8
        const val TASKS_PER_JOB = 110
        const val GC_ROUNDS = 3
        const val BYTES_PER_KIB = 1024.0
        const val NANOS_PER_MICRO = 1000.0
    }
}

/** Runs the footprint measurement. */
fun main() = FootprintBench().run()
