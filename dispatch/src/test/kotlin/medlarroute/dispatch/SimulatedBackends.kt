package medlarroute.dispatch

import java.util.PriorityQueue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

/**
 * Simulates backend servers with leases, fencing and capacity on a virtual clock, with a dispatcher that controls them.
 */
internal class SimulatedBackends(
    private val clock: TestTimeSource = TestTimeSource(),
    private val failureDomains: Set<String> = setOf("d1"),
    settings: DispatchSettings = DispatchSettings(),
) : DispatchActions {
    /** Logged events as text. */
    val events = ArrayList<String>()
    val results = LinkedHashMap<JobId, JobResult>()
    val resultAtMs = HashMap<JobId, Long>()

    /** Tasks of which two runs were active at the same time. */
    val concurrentRuns = ArrayList<TaskKey>()
    val fenced = ArrayList<String>()
    val backends = LinkedHashMap<String, Backend>()

    /** Work of a task at speed 1. */
    var workMs: (TaskKey) -> Long = { 50L }

    /** Outcome that is reported for a run. */
    var outcome: (TaskKey, Backend) -> RunOutcome = { _, _ -> RunOutcome.DONE }

    /** Delay of start commands that get no response and are carried out late; null for normal ones. */
    var lateByMs: (StartCommand) -> Long? = { null }
    var starts = 0

    private class Event(val atMs: Long, val number: Long, val action: () -> Unit)

    private val eventQueue = PriorityQueue<Event>(compareBy<Event> { it.atMs }.thenBy { it.number })
    private var nextEventNumber = 0L
    var nowMs = 0L
        private set

    val dispatcher = Dispatcher(settings, clock, this) { part, event, fields ->
        events += "$part $event ${fields.joinToString(" ")}"
    }

    class Run(val run: Int, val startedAtMs: Long, val workMs: Long, val demand: Resources)

    inner class Backend(val info: BackendInfo, val speed: Double) {
        val running = LinkedHashMap<TaskKey, Run>()
        val ended = ArrayList<RunEnd>()
        var token = 0L
        var leaseUntilMs = 0L
        var nextEnd = 1L

        /** It is unreachable, but continues its runs. */
        var partitioned = false
        var hung = false
        var crashed = false
        private var waiting: (() -> Unit)? = null
        private val highestRuns = HashMap<TaskKey, Int>()

        fun poll(request: PollRequest, respond: (PollResult) -> Unit) {
            if (request.token < token) return respond(PollResult.Fenced)
            token = request.token
            request.leaseUntilMs?.let { leaseUntilMs = maxOf(leaseUntilMs, minOf(it, nowMs + MAX_LEASE_MS)) }
            ended.removeIf { it.number <= request.acknowledgedEnd }
            var responded = false
            val answer = answer@{
                if (!responded) {
                    responded = true
                    if (crashed) return@answer respond(PollResult.Failed("connection closed"))
                    respond(PollResult.Report(nowMs, info.incarnation, running.map(::runProgress), ended.toList()))
                }
            }
            if (ended.isNotEmpty() || request.waitMs == 0L) return answer()
            waiting = answer
            after(request.waitMs) { answer() }
        }

        private fun runProgress(entry: Map.Entry<TaskKey, Run>): RunProgress {
            val elapsedMs = if (hung) 0 else nowMs - entry.value.startedAtMs
            val percent = (PERCENT * elapsedMs * speed / entry.value.workMs).toInt().coerceAtMost(PERCENT - 1)
            return RunProgress(entry.key, entry.value.run, percent)
        }

        fun start(command: StartCommand, demand: Resources): StartResult {
            if (running[command.task]?.run == command.run) return StartResult.Started(nowMs)
            val used = running.values.fold(Resources()) { sum, run -> sum + run.demand }
            val reason = when {
                command.token < token -> RejectReason.FENCED
                command.validUntilMs < nowMs -> RejectReason.EXPIRED
                command.run <= (highestRuns[command.task] ?: 0) -> RejectReason.OLD_RUN
                !(used + demand).fitsInto(info.capacity) -> RejectReason.NO_ROOM
                else -> null
            }
            token = maxOf(token, command.token)
            if (reason != null) return StartResult.Rejected(reason, nowMs)
            if (backends.values.any { command.task in it.running }) concurrentRuns += command.task
            starts++
            leaseUntilMs = maxOf(leaseUntilMs, command.validUntilMs)
            highestRuns[command.task] = command.run
            val run = Run(command.run, nowMs, workMs(command.task), demand)
            running[command.task] = run
            if (!hung) after((run.workMs / speed).toLong()) { end(command.task, run, outcome(command.task, this)) }
            return StartResult.Started(nowMs)
        }

        fun end(task: TaskKey, run: Run, outcome: RunOutcome) {
            if (running[task] !== run) return
            running.remove(task)
            ended += RunEnd(nextEnd++, task, run.run, outcome)
            waiting?.invoke()
            waiting = null
        }

        fun expireLease() {
            if (nowMs <= leaseUntilMs) return
            running.entries.toList().forEach { (task, run) -> end(task, run, RunOutcome.LEASE_EXPIRED) }
        }
    }

    fun add(id: String, speed: Double = 1.0, domain: String = "d1", cores: Int = 16): Backend {
        val capacity = Resources(cores * MILLIS, 64_000, 0)
        val info = BackendInfo(id, id, 1, domain, ServiceId("s"), capacity, emptyList(), 1, draining = false)
        return Backend(info, speed).also { backends[id] = it }
    }

    /** Ends all runs of the backend server, which restarts immediately as a new process. */
    fun crash(id: String) {
        val old = backends.getValue(id)
        old.crashed = true
        old.running.clear()
        backends[id] = Backend(old.info.copy(incarnation = old.info.incarnation + 1), old.speed)
    }

    fun listAll() = dispatcher.updateBackends(backends.values.map { it.info })

    /** Makes the dispatcher the owner of all failure domains with [token] and lists all backend servers. */
    fun takeOver(token: Long = 1) {
        failureDomains.forEach { dispatcher.acquire(it, token) }
        listAll()
    }

    fun after(delayMs: Long, action: () -> Unit) {
        eventQueue += Event(nowMs + delayMs, nextEventNumber++, action)
    }

    /** Runs the simulation until [untilMs]. */
    fun run(untilMs: Long) {
        while (nowMs < untilMs) {
            nowMs++
            clock += 1.milliseconds
            while (eventQueue.isNotEmpty() && eventQueue.peek().atMs <= nowMs) eventQueue.remove().action()
            backends.values.forEach { it.expireLease() }
            if (nowMs % TICK_MS == 0L) dispatcher.tick()
        }
    }

    fun submit(request: JobRequest, timeoutMs: Long = 3_000, progress: JobProgress? = null) =
        dispatcher.submit(request, JobOrigin("i1", request.id.value.hashCode().toLong()), timeoutMs, 0, progress)

    override fun start(command: StartCommand) {
        val demand = demands.getValue(command.task.job)[command.task.step]
        val lateMs = lateByMs(command)
        if (lateMs != null) {
            after(lateMs) { backends.getValue(command.backend.id).start(command, demand) }
            after(TIMEOUT_MS) { dispatcher.onStartResult(command, StartResult.Unknown("timeout")) }
            return
        }
        after(1) {
            val backend = backends[command.backend.id]
            if (backend == null || backend.partitioned) {
                after(TIMEOUT_MS) { dispatcher.onStartResult(command, StartResult.Unknown("timeout")) }
            } else {
                val result = backend.start(command, demand)
                after(1) { dispatcher.onStartResult(command, result) }
            }
        }
    }

    override fun stop(command: StopCommand) = after(1) {
        val backend = backends[command.backend.id]
        val run = backend?.running?.get(command.task)
        if (backend == null || backend.partitioned || command.token < backend.token) {
            dispatcher.onStopResult(command, isAcknowledged = false)
        } else {
            if (run?.run == command.run) after(20) { backend.end(command.task, run, RunOutcome.STOPPED) }
            after(1) { dispatcher.onStopResult(command, isAcknowledged = true) }
        }
    }

    override fun poll(request: PollRequest, number: Long) = after(1) {
        val backend = backends[request.backend.id]
        if (backend == null || backend.partitioned) {
            after(TIMEOUT_MS) { dispatcher.onPollResult(request, number, PollResult.Failed("timeout")) }
        } else {
            backend.poll(request) { result ->
                if (!backend.partitioned) after(1) { dispatcher.onPollResult(request, number, result) }
            }
        }
    }

    override fun jobEnded(origin: JobOrigin, job: JobId, result: JobResult) {
        results[job] = result
        resultAtMs[job] = nowMs
    }

    override fun onFenced(failureDomain: String) {
        fenced += failureDomain
    }

    private val demands = HashMap<JobId, List<Resources>>()

    /** A job of one step. The default estimate matches the default [workMs]. */
    fun job(id: String, tasks: Int, cpuMillis: Int = 6_800, queue: String = "q", estimateMs: Long = 50): JobRequest {
        val step = StepRequest(tasks, Resources(cpuMillis, 64, 0), estimateMs)
        return job(id, listOf(step), queue)
    }

    fun job(id: String, steps: List<StepRequest>, queue: String = "q"): JobRequest {
        demands[JobId(id)] = steps.map { it.demand }
        return JobRequest(JobId(id), QueueId(queue), "payload", steps)
    }

    fun configure(vararg queues: QueueSettings) {
        val limits = RequestLimits(16_384, 262_144, 15_000)
        val service = ServiceSettings(ServiceId("s"), rejectsOverload = true)
        dispatcher.configure(DispatchConfiguration(1, queues.toList(), listOf(service), limits))
    }

    companion object {
        const val MILLIS = 1_000
        const val PERCENT = 100
        const val TICK_MS = 20L
        const val TIMEOUT_MS = 120L
        const val MAX_LEASE_MS = 1_000L

        fun queue(id: String = "q", priority: Int = 0, objectiveMs: Long = 60, maxAttempts: Int = 3) =
            QueueSettings(QueueId(id), "h", "/$id/", ServiceId("s"), priority, maxAttempts, 1.6, objectiveMs)
    }
}
