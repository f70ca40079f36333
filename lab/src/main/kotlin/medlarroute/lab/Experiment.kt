package medlarroute.lab

import medlarroute.core.Answer
import medlarroute.core.BackendId
import medlarroute.core.BackendServer
import medlarroute.core.BackendUsage
import medlarroute.core.CallerId
import medlarroute.core.Effect
import medlarroute.core.FailureDomainId
import medlarroute.core.Incarnation
import medlarroute.core.Input
import medlarroute.core.InstanceId
import medlarroute.core.Job
import medlarroute.core.KindId
import medlarroute.core.NotStartedReason
import medlarroute.core.Rules
import medlarroute.core.SubmissionId
import medlarroute.core.TaskId
import medlarroute.core.TaskSpec
import medlarroute.core.TeamId
import medlarroute.core.TicketId
import java.util.PriorityQueue
import java.util.Random
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.TestTimeSource

/**
 * Discrete-event simulation of one policy on one [WorkloadTrace]: several entry instances, each with a [Dispatcher],
 * and models of the backend servers share a virtual clock. There are no messages between entry instances and no
 * platform, so that only the policy is measured.
 */
internal class Experiment(
    private val trace: WorkloadTrace,
    private val policy: Policy,
    ideal: IdealBound,
) {
    /** Events at the same time run in the order in which they were scheduled, so that a run is reproducible. */
    private class Event(val atNs: Long, val order: Long, val run: () -> Unit)

    private class Instance(val index: Int, val domain: Int, val dispatcher: Dispatcher) {
        val ticket = TicketId(FailureDomainId("d$domain"), InstanceId("e$index"), Incarnation(1), 1)

        /** Time of the earliest scheduled wake-up; later ones that are still in the queue are ignored. */
        var wakeNs = Long.MAX_VALUE
    }

    private class RunningTask(val instance: Instance, val task: TaskId) {
        var ended = false
    }

    private class Backend(val index: Int, val domain: Int, val speed: Double) {
        val id = BackendId("b$index")
        val running = HashMap<TaskId, RunningTask>()
        var failsTasks = false
        var isDown = false

        fun usage() = BackendUsage(running.size, ClusterSize.SLOTS)
    }

    private val workload = trace.workload
    private val clock = TestTimeSource()
    private val random = Random(workload.seed xor LATENCY_SEED)
    private val events = PriorityQueue<Event>(compareBy<Event> { it.atNs }.thenBy { it.order })
    private var nowNs = 0L
    private var nextOrder = 0L
    private val metrics = ExperimentMetrics(trace, ideal, policy.name)

    private val backends =
        List(workload.size.backends) { Backend(it, trace.domainOfBackend(it), trace.speeds[it]) }
    private val backendById = backends.associateBy { it.id }
    private val instances =
        List(workload.size.instances) {
            val domain = trace.domainOfInstance(it)
            Instance(it, domain, policy.create(PolicyContext("d$domain", it, workload.size.instances, clock)))
        }

    fun run(): PolicyResult {
        val startedNs = System.nanoTime()
        scheduleTrace()
        while (true) {
            val event = events.poll() ?: break
            clock += (event.atNs - nowNs).nanoseconds
            nowNs = event.atNs
            event.run()
        }
        return metrics.result(System.nanoTime() - startedNs)
    }

    private fun scheduleTrace() {
        val teams = workload.teams
        val rules = Rules(version = 1, teams = (0 until teams).associate { CallerId("c$it") to TeamId("t$it") })
        val quotas = (0 until teams).associate { TeamId("t$it") to trace.teamQuota }
        for (instance in instances) {
            val share = if (policy.isPooled) 1.0 else trace.instanceShare(instance.index)
            val shares = quotas.mapValues { it.value * share }
            val backendInputs = backends.map { Input.BackendServing(serverInfo(it)) }
            val quotaInputs = listOf(Input.RulesChanged(rules.copy(quotas = quotas)), Input.SharesChanged(shares))
            scheduleAt(0) { tick(instance, quotaInputs + backendInputs) }
        }
        for (job in trace.jobs) scheduleAt(job.arrivalNs) { submit(job) }
        backends.take(workload.failingBackends).forEach { it.failsTasks = true }
        workload.lostHalfOfDomainAtSeconds?.let { scheduleAt((it * NS_PER_SECOND).toLong()) { failHalfOfDomain() } }
    }

    private fun serverInfo(backend: Backend) =
        BackendServer(backend.id, FailureDomainId("d${backend.domain}"), ClusterSize.SLOTS)

    private fun scheduleAt(ns: Long, run: () -> Unit) {
        events += Event(ns, nextOrder++, run)
    }

    private fun submit(job: TraceJob) {
        val instance = instances[if (policy.isPooled) 0 else job.instance]
        val submission = SubmissionId(instance.ticket, job.number + 1L)
        val tasks = List(job.sizesNs.size) { TaskSpec("", job.declaredNs?.get(it)?.nanoseconds) }
        val spec = Job(submission, CallerId("c${job.team}"), KindId(job.kind), job.timeoutNs.nanoseconds, tasks)
        tick(instance, listOf(Input.Submit(spec)))
        job.cancelNs?.let { scheduleAt(it) { tick(instance, listOf(Input.Cancel(submission))) } }
    }

    private fun tick(instance: Instance, inputs: List<Input>) {
        instance.dispatcher.tick(inputs).forEach { apply(instance, it) }
        val wait = instance.dispatcher.nextWake() ?: return
        val wakeNs = nowNs + wait.inWholeNanoseconds.coerceAtLeast(MIN_WAKE_NS)
        if (wakeNs >= instance.wakeNs) return
        instance.wakeNs = wakeNs
        scheduleAt(wakeNs) { wake(instance, wakeNs) }
    }

    private fun wake(instance: Instance, wakeNs: Long) {
        if (instance.wakeNs != wakeNs) return
        instance.wakeNs = Long.MAX_VALUE
        tick(instance, emptyList())
    }

    private fun apply(instance: Instance, effect: Effect) {
        when (effect) {
            is Effect.Start -> {
                val backend = backendById.getValue(effect.backend)
                metrics.recordStart(effect.task)
                scheduleAt(nowNs + latencyNs(instance, backend)) { receiveStart(instance, backend, effect.task) }
            }

            is Effect.Stop -> {
                val backend = backendById.getValue(effect.backend)
                metrics.recordStop()
                scheduleAt(nowNs + latencyNs(instance, backend)) { backend.running.remove(effect.task)?.ended = true }
            }

            is Effect.Answered -> recordAnswer(effect)
        }
    }

    private fun recordAnswer(effect: Effect.Answered) {
        val job = trace.jobs[(effect.submission.sequence - 1).toInt()]
        metrics.recordAnswer(job, effect.answer, nowNs)
    }

    private fun latencyNs(instance: Instance, backend: Backend): Long {
        val base = workload.size.latencyNs(instance.domain, backend.domain)
        return (base * (1 + random.nextDouble() * LATENCY_JITTER)).toLong()
    }

    private fun reply(instance: Instance, backend: Backend, input: Input) {
        scheduleAt(nowNs + latencyNs(instance, backend)) { tick(instance, listOf(input)) }
    }

    private fun receiveStart(instance: Instance, backend: Backend, task: TaskId) {
        if (backend.isDown) {
            metrics.recordNotStarted(task)
            reply(instance, backend, Input.TaskNotStarted(task, NotStartedReason.NOT_DELIVERED))
            return
        }
        if (backend.running.size >= ClusterSize.SLOTS) {
            metrics.recordNotStarted(task)
            reply(instance, backend, Input.TaskNotStarted(task, NotStartedReason.BUSY, backend.usage()))
            return
        }
        val running = RunningTask(instance, task)
        backend.running[task] = running
        val sizeNs = trace.jobs[(task.submission.sequence - 1).toInt()].sizesNs[task.index]
        val runNs = if (backend.failsTasks) FAIL_AFTER_NS else (sizeNs / backend.speed).toLong()
        scheduleAt(nowNs + runNs) { finish(backend, running, runNs) }
    }

    private fun finish(backend: Backend, running: RunningTask, runNs: Long) {
        if (running.ended) return
        running.ended = true
        backend.running.remove(running.task)
        val task = running.task
        if (backend.failsTasks) {
            reply(running.instance, backend, Input.TaskFailed(task, "no disk", backend.usage()))
            return
        }
        metrics.recordDone(task, nowNs)
        reply(running.instance, backend, Input.TaskDone(task, "", runNs.nanoseconds, backend.usage()))
    }

    /** Every second backend server of failure domain 0 crashes. The instance list reports it after [LIST_LAG_NS]. */
    private fun failHalfOfDomain() {
        val failed = backends.filter { it.domain == 0 }.filterIndexed { index, _ -> index % 2 == 0 }
        for (backend in failed) {
            backend.isDown = true
            val running = backend.running.values.toList()
            backend.running.clear()
            for (task in running) {
                task.ended = true
                reply(task.instance, backend, Input.TaskLost(task.task, "connection closed"))
            }
        }
        val removed = failed.map { Input.BackendRemoved(it.id) }
        instances.forEach { scheduleAt(nowNs + LIST_LAG_NS) { tick(it, removed) } }
    }

    private companion object {
        const val LATENCY_SEED = 0x5eedL
        const val LATENCY_JITTER = 0.2
        const val MIN_WAKE_NS = 1_000L
        const val FAIL_AFTER_NS = 5_000_000L
        const val LIST_LAG_NS = 4_000_000_000L
    }
}

/** Properties of the entry instance that a [Policy] creates a dispatcher for. */
internal class PolicyContext(
    val failureDomain: String,
    val instance: Int,
    val instances: Int,
    val clock: TestTimeSource,
)

/** A named factory for the [Dispatcher] of an instance. With a pooled policy, all jobs go to a single instance. */
internal class Policy(val name: String, val isPooled: Boolean = false, val create: (PolicyContext) -> Dispatcher)

internal fun Answer.isComplete(): Boolean = this is Answer.Complete
