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
 * Runs one policy over one [Scenario]: several entry instances with a [Dispatcher] each, and models of the backend
 * servers, under one virtual clock. Measures the policy only; there is no network, no peer and no platform.
 */
internal class Experiment(private val scenario: Scenario, private val policy: Policy, private val ideal: Ideal) {
    private class Event(val atNs: Long, val order: Long, val run: () -> Unit)

    private class Instance(val index: Int, val domain: Int, val dispatcher: Dispatcher) {
        val ticket = TicketId(FailureDomainId("d$domain"), InstanceId("e$index"), Incarnation(1), 1)
        var wakeNs = Long.MAX_VALUE
    }

    private class Running(val instance: Instance, val task: TaskId) {
        var ended = false
    }

    private class Backend(val index: Int, val domain: Int, val speed: Double) {
        val id = BackendId("b$index")
        val running = HashMap<TaskId, Running>()
        var failing = false
        var dead = false

        fun usage() = BackendUsage(running.size, ClusterSize.SLOTS)
    }

    private val workload = scenario.workload
    private val clock = TestTimeSource()
    private val random = Random(workload.seed xor LATENCY_SEED)
    private val events = PriorityQueue<Event>(compareBy<Event> { it.atNs }.thenBy { it.order })
    private var nowNs = 0L
    private var order = 0L
    private val tally = Tally(scenario, ideal, policy.name)

    private val backends =
        List(workload.size.backends) { Backend(it, scenario.domainOfBackend(it), scenario.speeds[it]) }
    private val backendOf = backends.associateBy { it.id }
    private val instances =
        List(workload.size.instances) {
            val domain = scenario.domainOfInstance(it)
            Instance(it, domain, policy.create(PolicyContext("d$domain", it, workload.size.instances, clock)))
        }

    fun run(): PolicyResult {
        val startedNs = System.nanoTime()
        prepare()
        while (true) {
            val event = events.poll() ?: break
            clock += (event.atNs - nowNs).nanoseconds
            nowNs = event.atNs
            event.run()
        }
        return tally.result(System.nanoTime() - startedNs)
    }

    private fun prepare() {
        val teams = workload.teams
        val rules = Rules(version = 1, teams = (0 until teams).associate { CallerId("c$it") to TeamId("t$it") })
        val quotas = (0 until teams).associate { TeamId("t$it") to scenario.teamQuota }
        for (instance in instances) {
            val shares = quotas.mapValues {
                it.value *
                    (if (policy.isPooled) 1.0 else scenario.instanceShare(instance.index))
            }
            val seen = backends.map { Input.BackendServing(info(it)) }
            val inputs = listOf(Input.RulesChanged(rules.copy(quotas = quotas)), Input.SharesChanged(shares)) + seen
            at(0) { tick(instance, inputs) }
        }
        for (job in scenario.jobs) at(job.arrivalNs) { submit(job) }
        backends.take(workload.failingBackends).forEach { it.failing = true }
        workload.lostHalfOfDomainAtSeconds?.let { at((it * NS_PER_SECOND).toLong()) { loseHalfOfDomain() } }
    }

    private fun info(backend: Backend) =
        BackendServer(backend.id, FailureDomainId("d${backend.domain}"), ClusterSize.SLOTS)

    private fun at(ns: Long, run: () -> Unit) {
        events += Event(ns, order++, run)
    }

    private fun submit(job: SimJob) {
        val instance = instances[if (policy.isPooled) 0 else job.instance]
        val submission = SubmissionId(instance.ticket, job.number + 1L)
        val tasks = List(job.sizesNs.size) { TaskSpec("", job.declaredNs?.get(it)?.nanoseconds) }
        val spec = Job(submission, CallerId("c${job.team}"), KindId(job.kind), job.timeoutNs.nanoseconds, tasks)
        tick(instance, listOf(Input.Submit(spec)))
        job.cancelNs?.let { at(it) { tick(instance, listOf(Input.Cancel(submission))) } }
    }

    private fun tick(instance: Instance, inputs: List<Input>) {
        instance.dispatcher.tick(inputs).forEach { carryOut(instance, it) }
        val wait = instance.dispatcher.nextWake() ?: return
        val wakeNs = nowNs + wait.inWholeNanoseconds.coerceAtLeast(MIN_WAKE_NS)
        if (wakeNs >= instance.wakeNs) return
        instance.wakeNs = wakeNs
        at(wakeNs) { wake(instance, wakeNs) }
    }

    private fun wake(instance: Instance, wakeNs: Long) {
        if (instance.wakeNs != wakeNs) return
        instance.wakeNs = Long.MAX_VALUE
        tick(instance, emptyList())
    }

    private fun carryOut(instance: Instance, effect: Effect) {
        when (effect) {
            is Effect.Start -> {
                val backend = backendOf.getValue(effect.backend)
                tally.started(effect.task)
                at(nowNs + latencyNs(instance, backend)) { receive(instance, backend, effect.task) }
            }

            is Effect.Stop -> {
                val backend = backendOf.getValue(effect.backend)
                tally.stopped()
                at(nowNs + latencyNs(instance, backend)) { backend.running.remove(effect.task)?.ended = true }
            }

            is Effect.Answered -> answered(effect)
        }
    }

    private fun answered(effect: Effect.Answered) {
        val job = scenario.jobs[(effect.submission.sequence - 1).toInt()]
        tally.answered(job, effect.answer, nowNs)
    }

    private fun latencyNs(instance: Instance, backend: Backend): Long {
        val base = workload.size.latencyNs(instance.domain, backend.domain)
        return (base * (1 + random.nextDouble() * LATENCY_JITTER)).toLong()
    }

    private fun reply(instance: Instance, backend: Backend, input: Input) {
        at(nowNs + latencyNs(instance, backend)) { tick(instance, listOf(input)) }
    }

    private fun receive(instance: Instance, backend: Backend, task: TaskId) {
        if (backend.dead) {
            tally.notStarted(task)
            reply(instance, backend, Input.TaskNotStarted(task, NotStartedReason.NOT_DELIVERED))
            return
        }
        if (backend.running.size >= ClusterSize.SLOTS) {
            tally.notStarted(task)
            reply(instance, backend, Input.TaskNotStarted(task, NotStartedReason.BUSY, backend.usage()))
            return
        }
        val running = Running(instance, task)
        backend.running[task] = running
        val sizeNs = scenario.jobs[(task.submission.sequence - 1).toInt()].sizesNs[task.index]
        val runNs = if (backend.failing) FAIL_AFTER_NS else (sizeNs / backend.speed).toLong()
        at(nowNs + runNs) { finish(backend, running, runNs) }
    }

    private fun finish(backend: Backend, running: Running, runNs: Long) {
        if (running.ended) return
        running.ended = true
        backend.running.remove(running.task)
        val task = running.task
        if (backend.failing) {
            reply(running.instance, backend, Input.TaskFailed(task, "no disk", backend.usage()))
            return
        }
        tally.done(task, nowNs)
        reply(running.instance, backend, Input.TaskDone(task, "", runNs.nanoseconds, backend.usage()))
    }

    /** Every second backend server of failure domain 0 dies; the list says so [LIST_LAG_NS] later. */
    private fun loseHalfOfDomain() {
        val lost = backends.filter { it.domain == 0 }.filterIndexed { index, _ -> index % 2 == 0 }
        for (backend in lost) {
            backend.dead = true
            val running = backend.running.values.toList()
            backend.running.clear()
            for (task in running) {
                task.ended = true
                reply(task.instance, backend, Input.TaskLost(task.task, "connection closed"))
            }
        }
        val removed = lost.map { Input.BackendRemoved(it.id) }
        instances.forEach { at(nowNs + LIST_LAG_NS) { tick(it, removed) } }
    }

    private companion object {
        const val LATENCY_SEED = 0x5eedL
        const val LATENCY_JITTER = 0.2
        const val MIN_WAKE_NS = 1_000L
        const val FAIL_AFTER_NS = 5_000_000L
        const val LIST_LAG_NS = 4_000_000_000L
    }
}

/** What a [Policy] is told about the instance it decides in. */
internal class PolicyContext(
    val failureDomain: String,
    val instance: Int,
    val instances: Int,
    val clock: TestTimeSource,
)

/** A named way to make the [Dispatcher] of an instance; a pooled one sends all jobs to a single instance. */
internal class Policy(val name: String, val isPooled: Boolean = false, val create: (PolicyContext) -> Dispatcher)

internal fun Answer.isComplete(): Boolean = this is Answer.Complete
