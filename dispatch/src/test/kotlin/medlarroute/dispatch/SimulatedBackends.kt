package medlarroute.dispatch

import java.util.PriorityQueue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource
import kotlin.time.TimeSource

/**
 * Simulates backend servers with leases, fencing and capacity on a virtual clock, with a dispatcher that controls them.
 * Further dispatchers, on other instances, may be added.
 */
internal class SimulatedBackends(
    val clock: TestTimeSource = TestTimeSource(),
    private val failureDomains: Set<String> = setOf("d1"),
    settings: DispatchSettings = DispatchSettings(),
) {
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

    /** The same for stop commands. */
    var lateStopByMs: (StopCommand) -> Long? = { null }

    /** Result of a start command that is known within the call that sends it; null for normal ones. */
    var immediateStart: (StartCommand) -> StartResult? = { null }

    /** The same for polls. */
    var immediatePoll: (PollRequest) -> PollResult? = { null }

    /** Number of commands and polls that were sent while the result of another one was being processed at once. */
    var nestedCalls = 0
    private var hasImmediateResult = false
    var starts = 0

    /** Number of polls by the id of the backend server. */
    val polls = HashMap<String, Int>()
    val startsByTask = HashMap<TaskKey, Int>()

    /** Tasks that end the process of the backend server that starts them, with the delay after the start. */
    var crashesAfterMs: (TaskKey) -> Long? = { null }

    /** Whether nothing answers at the address of a crashed backend server; otherwise connections are refused. */
    var isSilentWhenDown = false

    /** Whether a restarted backend server is listed under another id. */
    var restartsUnderNewId = false

    /** Highest demand beyond the capacity that the runs of a backend server have had, in thousandths of a core. */
    var overloadMillis = 0

    /** Whether backend servers reject starts that exceed their capacity. */
    var rejectsOverload = true

    /** How long a run goes on after its stop was acknowledged. */
    var stopMs = 20L

    /** Whether a poll lists runs that are being stopped. */
    var listsStoppingRuns = true

    /** Whether messages between owners are lost. */
    var losesOwnerMessages = false

    /** Whether owners without a network tell each other of their open jobs; the first is called "o0". */
    var sharesOpenJobs = false

    /** Jobs that an owner without a network has sent on to another one. */
    val moved = ArrayList<Pair<JobId, String>>()

    /** Instances from which the owners hear nothing, without having noticed it. */
    val silentInstances = HashSet<String>()

    private class Event(val atMs: Long, val number: Long, val action: () -> Unit)

    private val eventQueue = PriorityQueue<Event>(compareBy<Event> { it.atMs }.thenBy { it.number })
    private var nextEventNumber = 0L
    var nowMs = 0L
        private set

    private val log = EventLog { part, event, fields ->
        val text = "$part $event ${fields.joinToString(" ")}"
        events += text
        trace(text)
    }

    /** Logs to [trace] only, with the [name] of the instance. */
    fun traceLog(name: String) = EventLog { part, event, fields ->
        trace("$name $part $event ${fields.joinToString(" ")}")
    }

    /** The same with the starts and ends of runs, and with the time of each in milliseconds. */
    val trace = ArrayList<String>()

    fun trace(text: String) {
        trace += "$nowMs $text"
    }

    /**
     * An instance with its dispatcher.
     *
     * @param name precedes the events of this instance in [trace].
     * @param peers receives what the dispatcher reports to other instances; null if it reaches them without a network.
     * @param clock clock of the machine of this instance.
     */
    inner class Owner(
        settings: DispatchSettings,
        name: String?,
        private val peers: OwnerPeers?,
        clock: TimeSource.WithComparableMarks,
    ) : DispatchActions {
        val dispatcher = Dispatcher(settings, clock, this, if (name == null) log else traceLog(name))

        /** The process is stopped; responses wait until it goes on. */
        var isFrozen = false
            set(value) {
                field = value
                if (!value) delayed.toList().also { delayed.clear() }.forEach { it() }
            }
        private val delayed = ArrayList<() -> Unit>()

        fun deliver(action: () -> Unit) {
            if (isFrozen) delayed += action else action()
        }

        /** Without [peers], instances renew the jobs that they have submitted here, unless they are silent. */
        fun tick() {
            val requests = if (peers == null) dispatcher.openRequests else emptyList()
            for ((instance, origins) in requests.groupBy { it.instance }) {
                if (instance !in silentInstances) dispatcher.renew(instance, origins.map { it.request }, ageMs = 0)
            }
            dispatcher.tick()
        }

        override fun start(command: StartCommand) {
            val result = immediateStart(command) ?: return start(this, command)
            respondAtOnce { dispatcher.onStartResult(command, result) }
        }

        override fun stop(command: StopCommand) = stop(this, command)

        override fun poll(request: PollRequest, number: Long) {
            val result = immediatePoll(request) ?: return poll(this, request, number)
            respondAtOnce { dispatcher.onPollResult(request, number, result) }
        }

        override fun jobEnded(origin: JobOrigin, job: JobId, result: JobResult) {
            peers?.let { return it.jobEnded(origin, job, result) }
            results[job] = result
            resultAtMs[job] = nowMs
        }

        override fun historiesChanged(histories: List<TaskHistory>) {
            histories.forEach { published[it.task] = published[it.task]?.merge(it) ?: it }
        }

        override fun runsRemain(tasks: List<TaskKey>) {
            if (losesOwnerMessages) return
            peers?.let { return it.runsRemain(tasks) }
            after(2) {
                (owners - this).forEach { other -> other.deliver { other.dispatcher.learnActiveRuns(tasks) } }
            }
        }

        override fun jobsOpen(jobs: OpenJobs) {
            if (losesOwnerMessages) return
            peers?.let { return it.jobsOpen(jobs) }
            if (!sharesOpenJobs) return
            val own = owners.indexOf(this)
            after(2) {
                owners.forEachIndexed { index, other ->
                    if (index == own) return@forEachIndexed
                    other.deliver { other.dispatcher.openJobSystem.onAnnounced("o$own", jobs, own < index) }
                }
            }
        }

        override fun jobMoved(origin: JobOrigin, job: JobId, progress: JobProgress, owner: String) {
            peers?.let { return it.jobMoved(origin, job, progress, owner) }
            moved += job to owner
        }

        override fun onFenced(failureDomain: String) {
            peers?.let { return it.onFenced(failureDomain) }
            fenced += failureDomain
        }
    }

    val owners = ArrayList<Owner>()

    private var mainOwner = addOwner(settings)

    val dispatcher: Dispatcher get() = mainOwner.dispatcher

    /** Ends the process of [owner], which receives nothing any more. */
    fun kill(owner: Owner) {
        owner.isFrozen = true
        owners -= owner
    }

    fun addOwner(
        settings: DispatchSettings = DispatchSettings(),
        name: String? = null,
        peers: OwnerPeers? = null,
        clock: TimeSource.WithComparableMarks = this.clock,
    ): Owner = Owner(settings, name, peers, clock).also { owners += it }

    class Run(val run: Int, val startedAtMs: Long, val workMs: Long, val demand: Resources) {
        var isStopping = false
    }

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

        /** Its process has ended, and connections are refused. */
        var isDown = false

        /** A partition between it and the owner resets connections and refuses new ones; its runs continue. */
        var isRefusing = false
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
                    if (crashed) return@answer respond(PollResult.Closed)
                    val listed = running.filter { listsStoppingRuns || !it.value.isStopping }
                    respond(PollResult.Report(nowMs, info.incarnation, listed.map(::runProgress), ended.toList()))
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
                rejectsOverload && !(used + demand).fitsInto(info.capacity) -> RejectReason.NO_ROOM
                else -> null
            }
            token = maxOf(token, command.token)
            if (reason != null) return StartResult.Rejected(reason, nowMs)
            if (backends.values.any { command.task in it.running }) concurrentRuns += command.task
            starts++
            trace("server ${info.id} starts task ${command.task} run ${command.run} token ${command.token}")
            startsByTask.merge(command.task, 1, Int::plus)
            overloadMillis = maxOf(overloadMillis, (used + demand).cpuMillis - info.capacity.cpuMillis)
            leaseUntilMs = maxOf(leaseUntilMs, command.validUntilMs)
            highestRuns[command.task] = command.run
            val run = Run(command.run, nowMs, workMs(command.task), demand)
            running[command.task] = run
            crashesAfterMs(command.task)?.let { delayMs ->
                after(delayMs) { if (running[command.task] === run) stopProcess() }
            }
            if (!hung) after((run.workMs / speed).toLong()) { end(command.task, run, outcome(command.task, this)) }
            return StartResult.Started(nowMs)
        }

        /** Starts of the stopped run and of earlier ones are rejected from now on. */
        fun reject(stop: StopCommand) {
            highestRuns.merge(stop.task, stop.run, ::maxOf)
        }

        fun end(task: TaskKey, run: Run, outcome: RunOutcome) {
            if (running[task] !== run) return
            trace("server ${info.id} ends task $task run ${run.run} $outcome")
            running.remove(task)
            ended += RunEnd(nextEnd++, task, run.run, outcome)
            waiting?.invoke()
            waiting = null
        }

        /** Ends the process and all runs. It restarts after [DOWN_MS] as a new process. */
        fun stopProcess() {
            if (isDown) return
            crashed = true
            isDown = true
            running.clear()
            waiting?.invoke()
            waiting = null
            after(DOWN_MS) {
                val id = if (restartsUnderNewId) "${info.id}+" else info.id
                backends.remove(info.id)
                backends[id] = Backend(info.copy(id = id, incarnation = info.incarnation + 1), speed)
                listAll()
            }
        }

        fun expireLease() {
            if (nowMs <= leaseUntilMs) return
            running.entries.toList().forEach { (task, run) -> end(task, run, RunOutcome.LEASE_EXPIRED) }
        }
    }

    fun add(
        id: String,
        speed: Double = 1.0,
        domain: String = "d1",
        cores: Int = 16,
        rack: String? = null,
    ): Backend {
        val capacity = Resources(cores * MILLIS, 64_000, 0)
        val info = BackendInfo(id, id, 1, domain, ServiceId("s"), capacity, emptyList(), 1, draining = false, rack)
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

    /** Replaces the dispatcher by one on another instance that knows nothing of the jobs. Backend servers run on. */
    fun replaceOwner(token: Long, settings: DispatchSettings = DispatchSettings()) {
        kill(mainOwner)
        mainOwner = addOwner(settings)
        configure(SimulatedBackends.queue())
        takeOver(token)
    }

    /** Runs the simulation until [untilMs]. */
    fun run(untilMs: Long) {
        while (nowMs < untilMs) {
            nowMs++
            clock += 1.milliseconds
            while (eventQueue.isNotEmpty() && eventQueue.peek().atMs <= nowMs) eventQueue.remove().action()
            backends.values.forEach { it.expireLease() }
            if (nowMs % TICK_MS == 0L) owners.filterNot { it.isFrozen }.forEach { it.tick() }
        }
    }

    fun submit(request: JobRequest, timeoutMs: Long = 3_000, progress: JobProgress? = null) =
        dispatcher.submit(request, JobOrigin("i1", request.id.value.hashCode().toLong()), timeoutMs, 0, progress)

    private fun respondAtOnce(respond: () -> Unit) {
        if (hasImmediateResult) nestedCalls++
        hasImmediateResult = true
        respond()
        hasImmediateResult = false
    }

    private fun start(owner: Owner, command: StartCommand) {
        val demand = demands.getValue(command.task.job)[command.task.step]
        val lateMs = lateByMs(command)
        if (lateMs != null) {
            after(lateMs) { backends[command.backend.id]?.takeUnless { it.isDown }?.start(command, demand) }
            after(TIMEOUT_MS) { owner.onStartResult(command, StartResult.Unknown("timeout")) }
            return
        }
        after(1) {
            val backend = backends[command.backend.id]
            when {
                backend == null || backend.partitioned || (isSilentWhenDown && backend.isDown) ->
                    after(TIMEOUT_MS) { owner.onStartResult(command, StartResult.Unknown("timeout")) }

                backend.isDown || backend.isRefusing ->
                    after(1) { owner.onStartResult(command, StartResult.Rejected(RejectReason.REFUSED, null)) }

                else -> {
                    val result = backend.start(command, demand)
                    after(1) {
                        val isLost = backend.isDown && result is StartResult.Started
                        owner.onStartResult(command, if (isLost) StartResult.Unknown("connection closed") else result)
                    }
                }
            }
        }
    }

    private fun Owner.onStartResult(command: StartCommand, result: StartResult) =
        deliver { dispatcher.onStartResult(command, result) }

    private fun Owner.onStopResult(command: StopCommand, isAcknowledged: Boolean) =
        deliver { dispatcher.onStopResult(command, isAcknowledged) }

    private fun Owner.onPollResult(request: PollRequest, number: Long, result: PollResult) =
        deliver { dispatcher.onPollResult(request, number, result) }

    private fun stop(owner: Owner, command: StopCommand) {
        val lateMs = lateStopByMs(command)
        if (lateMs != null) {
            after(lateMs) {
                val backend = backends[command.backend.id]
                val run = backend?.running?.get(command.task)
                backend?.reject(command)
                if (run?.run == command.run) after(stopMs) { backend.end(command.task, run, RunOutcome.STOPPED) }
            }
            after(TIMEOUT_MS) { owner.onStopResult(command, isAcknowledged = false) }
            return
        }
        after(1) {
            val backend = backends[command.backend.id]
            val run = backend?.running?.get(command.task)
            val isUnreachable = backend == null || backend.partitioned || backend.isDown || backend.isRefusing
            if (backend == null || isUnreachable || command.token < backend.token) {
                owner.onStopResult(command, isAcknowledged = false)
            } else {
                backend.reject(command)
                if (run?.run == command.run) {
                    run.isStopping = true
                    after(stopMs) { backend.end(command.task, run, RunOutcome.STOPPED) }
                }
                after(1) { owner.onStopResult(command, isAcknowledged = true) }
            }
        }
    }

    private fun poll(owner: Owner, request: PollRequest, number: Long) {
        polls.merge(request.backend.id, 1, Int::plus)
        after(1) {
            val backend = backends[request.backend.id]
            when {
                backend == null && "${request.backend.id}+" in backends ->
                    after(1) { owner.onPollResult(request, number, PollResult.Replaced) }

                backend == null || backend.partitioned || (isSilentWhenDown && backend.isDown) ->
                    after(TIMEOUT_MS) { owner.onPollResult(request, number, PollResult.Failed("timeout")) }

                backend.isDown || backend.isRefusing ->
                    after(1) { owner.onPollResult(request, number, PollResult.Refused) }

                else -> backend.poll(request) { result ->
                    if (!backend.partitioned) after(1) { owner.onPollResult(request, number, result) }
                }
            }
        }
    }

    /** What the dispatchers have published, as the other instances know it. */
    val published = HashMap<TaskKey, TaskHistory>()

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

    fun configure(vararg queues: QueueSettings) = configure(mainOwner, *queues)

    fun configure(owner: Owner, vararg queues: QueueSettings) {
        val limits = RequestLimits(16_384, 262_144, 15_000)
        val service = ServiceSettings(ServiceId("s"), rejectsOverload)
        owner.dispatcher.configure(DispatchConfiguration(1, queues.toList(), listOf(service), limits))
    }

    companion object {
        const val MILLIS = 1_000
        const val PERCENT = 100
        const val TICK_MS = 20L
        const val TIMEOUT_MS = 120L
        const val MAX_LEASE_MS = 1_000L

        /** How long a crashed backend server is away. */
        const val DOWN_MS = 3_000L

        fun queue(id: String = "q", priority: Int = 0, objectiveMs: Long = 60, maxAttempts: Int = 3) =
            QueueSettings(QueueId(id), "h", "/$id/", ServiceId("s"), priority, maxAttempts, 1.6, objectiveMs)
    }
}

/** What an owner reports to other instances. */
internal interface OwnerPeers {
    fun jobEnded(origin: JobOrigin, job: JobId, result: JobResult)

    fun runsRemain(tasks: List<TaskKey>)

    fun jobsOpen(jobs: OpenJobs)

    fun jobMoved(origin: JobOrigin, job: JobId, progress: JobProgress, owner: String)

    fun onFenced(failureDomain: String)
}
