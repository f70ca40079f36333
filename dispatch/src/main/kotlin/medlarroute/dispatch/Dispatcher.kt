package medlarroute.dispatch

import medlarroute.allocation.QueueShare
import medlarroute.dispatch.evacuation.EvacuationSystem
import medlarroute.dispatch.reservations.BackendReservations
import medlarroute.dispatch.slowstart.SlowStartSystem
import kotlin.time.TimeSource

/**
 * Runs the jobs of all instances on the backend servers of the failure domains that this instance owns.
 *
 * Admits or refuses whole jobs, starts their tasks, renews leases and reports one result per job to each waiting
 * instance. Does no I/O. Not thread-safe: all calls are made by one thread.
 */
public class Dispatcher(
    private val settings: DispatchSettings,
    clock: TimeSource.WithComparableMarks,
    private val actions: DispatchActions,
    private val log: EventLog,
) {
    private val elapsed = ElapsedClock(clock)
    private val tables = DispatchTables(settings.historyRetentionMs, BackendReservations(log))
    private val ends = JobEndSystem(tables, actions, log)

    /** What owners tell each other of open jobs. */
    internal val openJobSystem = OpenJobSystem(settings, elapsed, tables, ends, actions, log)

    private val sharing = settings.sharing?.let { QueueSharing(it, tables) }
    private val takeover = TakeoverSystem(settings, tables)
    private val slowStart = SlowStartSystem(settings, log)
    private val health = BackendHealthSystem(settings, tables, slowStart, log)
    private val crashes = CrashSystem(settings, tables, actions, log)
    private val limits = LeaseLimits(settings, tables)
    private val isolation = IsolationSystem(settings, tables, health, limits)
    private val placement = DispatchPlacement(
        settings, tables, actions, takeover, health, isolation, limits, openJobSystem, log, sharing,
    )
    private val losses = RunLossSystem(settings, tables, ends, crashes, placement, slowStart, log)
    private val listing = BackendListingSystem(settings, tables, losses, slowStart, log)
    private val admission = DispatchAdmission(settings, tables, health, log, sharing)
    private val replies = DispatchReplies(settings, tables, actions, ends, health, crashes, losses, placement, log)

    /** Order in which queued jobs are served, for comparisons. */
    internal var servingOrder: Comparator<JobRow> by tables::servingOrder
    internal val evacuation = EvacuationSystem(tables, openJobSystem, ends, slowStart)
    private val polls = BackendPollSystem(settings, tables, actions, limits, log)

    /** Placement passes, polls and results: a result may arrive within the call that sends a command. */
    private val calls = SequentialCalls()

    /** Whether a placement pass waits in [calls]; it serves all results that are processed before it. */
    private var isPassDue = false
    private var tickedAtMs = 0L

    init {
        if (sharing != null) tables.servingOrder = EARLIEST_LATEST_START
    }

    /** Shares of the queues of all services; empty without [DispatchSettings.sharing]. */
    public val queueShares: List<QueueShare>
        get() = sharing?.let { shares ->
            tables.configuration?.services.orEmpty().flatMap { shares.ledger(it.id, nowMs()).shares }
        }.orEmpty()

    /** Milliseconds since the dispatcher was created. */
    public fun nowMs(): Long = elapsed.nowMs()

    public val openJobs: Int get() = tables.jobs.size

    /** Number of backend servers that are reserved for one task each. */
    public val reservedBackends: Int get() = tables.reservations.size

    /** Demand of running and queued tasks as a percentage of the capacity of the serving backend servers. */
    public fun loadPercent(): Int {
        val nowMs = nowMs()
        val serving = tables.backends.values.filter { it.isServing(nowMs) }
        val capacityMillis = serving.sumOf { it.limitMillis(nowMs).toLong() }
        if (capacityMillis == 0L) return FULL_PERCENT
        val runningMillis = serving.sumOf { (it.info.capacity.cpuMillis - it.free.cpuMillis).toLong() }
        val waitingMillis = tables.waiting.sumOf { it.queuedCpuMillis() }
        return ((runningMillis + waitingMillis) * FULL_PERCENT / capacityMillis).toInt()
    }

    /** Number of backend servers that get a rising share of the work. */
    public val slowStarts: Int get() {
        val nowMs = nowMs()
        return tables.backends.values.count { it.coreLimit?.isOver(nowMs) == false }
    }

    /** What is known of tasks that may crash backend servers or have failed. */
    public val histories: List<TaskHistory> get() = tables.histories.all

    /** Adds what another instance knows of tasks. */
    public fun learn(histories: List<TaskHistory>) {
        val nowMs = nowMs()
        crashes.mergeAll(histories, nowMs)
        tables.histories.prune(nowMs) { it in tables.jobs }
    }

    /** Tasks of which a run goes on here although its job is unknown or has ended; see [DispatchActions.runsRemain]. */
    public fun remainingRuns(): List<TaskKey> = tables.backends.values.flatMap { row ->
        row.unknownRuns.keys.filter { tables.jobs[it.job] == null } + row.tasks.filterValues { it.job.ended }.keys
    }

    /** Another owner reports that runs of [tasks] may go on at its backend servers. */
    public fun learnActiveRuns(tasks: List<TaskKey>) {
        val nowMs = nowMs()
        tasks.forEach { tables.runs.recordUnplaced(it, nowMs + longestRunMs(settings)) }
    }

    /** Number of admitted jobs of [queue] of which no task was started yet. */
    public fun waitingJobs(queue: QueueId): Int =
        tables.jobs.values.count { it.queue.id == queue && !it.everDispatched }

    /** Instances that wait for the results of open jobs. */
    public val waitingInstances: Set<String> get() =
        tables.jobs.values.flatMapTo(HashSet()) { job -> job.origins.map { it.instance } }

    /** Failure domains that this instance owns. */
    public val ownedDomains: Set<String> get() = tables.tokens.keys

    public fun configure(configuration: DispatchConfiguration) {
        tables.configuration = configuration
    }

    /**
     * Takes over [failureDomain]; commands to its backend servers carry [token] from now on.
     *
     * @param wasReleased whether the previous owner has released it, and so has told the instances that wait for jobs.
     */
    public fun acquire(failureDomain: String, token: Long, wasReleased: Boolean = false) {
        val nowMs = nowMs()
        tables.tokens[failureDomain] = token
        tables.ownedSinceMs[failureDomain] = nowMs
        if (wasReleased) tables.takenOverAtMs.remove(failureDomain) else tables.takenOverAtMs[failureDomain] = nowMs
    }

    /**
     * Releases [failureDomain]. Runs there of jobs that stay with this instance are stopped, since the next owner does
     * not know these jobs. Runs of jobs that were handed over continue under the next owner.
     */
    public fun release(failureDomain: String) {
        val token = tables.tokens.remove(failureDomain) ?: return
        tables.ownedSinceMs.remove(failureDomain)
        val nowMs = nowMs()
        for (row in tables.backendsIn(failureDomain)) {
            val stops = row.tasks.values.map { StopCommand(row.info, it.key, it.run, token) }
            listing.remove(row, nowMs, isReleased = true)
            stops.forEach(actions::stop)
        }
        losses.onReleased(failureDomain, nowMs)
    }

    /** Replaces the list of backend servers of the owned failure domains. */
    public fun updateBackends(listed: Collection<BackendInfo>) {
        listing.update(listed.filter { it.failureDomain in tables.tokens }, nowMs())
    }

    /**
     * Submits a job for [origin], which gets one result. If the job is already open, [origin] waits for it, too.
     *
     * @param timeoutMs how long the caller still waits.
     * @param waitedMs how long the caller has waited already.
     * @param progress progress of the job under a previous owner; null if the job is new.
     * @param renewedMsAgo time since [origin] has certainly waited for the job, see [renew].
     * @param unreadMs how long the request may have waited at [origin] before it was read, in addition to [waitedMs].
     */
    public fun submit(
        request: JobRequest,
        origin: JobOrigin,
        timeoutMs: Long,
        waitedMs: Long = 0,
        progress: JobProgress? = null,
        renewedMsAgo: Long = 0,
        unreadMs: Long = 0,
    ) {
        val nowMs = nowMs()
        if (request.id in tables.cancelledJobs) return actions.jobEnded(origin, request.id, JobResult.Cancelled)
        val open = tables.jobs[request.id]
        progress?.let { crashes.mergeAll(it.histories, nowMs) }
        if (open != null) {
            if (progress != null && origin !in open.origins) {
                recordPriorRuns(open, progress, nowMs)
                if (!progress.isNotStarted) open.everDispatched = true
            }
            open.addOrigin(origin, nowMs - renewedMsAgo, nowMs)
            open.earliestArrivalMs = minOf(open.earliestArrivalMs, nowMs - waitedMs - unreadMs)
            log.event(
                "dispatch", "job-joined", "job", request.id, "origin", origin.instance, "waitedMs", waitedMs,
                "origins", open.origins.map { it.instance }, "openForMs", nowMs - open.arrivedAtMs,
            )
            return
        }
        val decision = admission.decide(request, nowMs - waitedMs, nowMs + timeoutMs, progress, nowMs)
        val job = when (decision) {
            is AdmissionDecision.Refused -> return refuse(request, origin, decision.result, nowMs)
            is AdmissionDecision.Admitted -> decision.job
        }
        job.addOrigin(origin, nowMs - renewedMsAgo, nowMs)
        job.earliestArrivalMs = nowMs - waitedMs - unreadMs
        crashes.assignHistories(job)
        tables.jobs[request.id] = job
        job.highestPriorRun = job.allTasks().maxOfOrNull { tables.runs.highestRun(it.key) } ?: 0
        progress?.let { resume(job, it, nowMs) }
        openJobSystem.onAdmitted(job, nowMs)
        replies.adoptUnknownRuns(job, nowMs)
        placement.unblock(job)
        val failure = job.allTasks().filter { it.state != TaskState.DONE }.firstNotNullOfOrNull(crashes::resultOrNull)
        if (failure != null) ends.end(job, failure, nowMs)
        if (job.openTasks == 0) ends.end(job, JobResult.Complete, nowMs)
        place()
    }

    /** A job of which an earlier attempt has runs is not refused as "not run", and so is sent to no other owner. */
    private fun refuse(request: JobRequest, origin: JobOrigin, refusal: JobResult.NotRun, nowMs: Long) {
        val hasRun = openJobSystem.otherOwnerOrNull(request.id) != null ||
            request.tasks().any { tables.runs.findActive(it, nowMs) != null }
        val result = if (hasRun) JobResult.Abandoned("an earlier attempt may run: ${refusal.reason}") else refusal
        actions.jobEnded(origin, request.id, result)
    }

    /** Runs that an earlier owner has started may go on. */
    private fun recordPriorRuns(job: JobRow, progress: JobProgress, nowMs: Long) {
        job.highestPriorRun = maxOf(job.highestPriorRun, progress.highestRun)
        takeover.recordPriorRuns(job, progress, nowMs)
    }

    /**
     * A job of which certainly no task was started keeps its place in the order and its early refusal; that it is not
     * reported as not run, where that is unknown, is up to the instance that submits it.
     */
    private fun resume(job: JobRow, progress: JobProgress, nowMs: Long) {
        job.everDispatched = !progress.isNotStarted
        job.isResumed = true
        recordPriorRuns(job, progress, nowMs)
        progress.done.mapNotNull(job::task).forEach {
            it.state = TaskState.DONE
            job.openTasks--
        }
        log.event(
            "dispatch", "job-resumed", "job", job.request.id, "origin", job.origins.first().instance,
            "done", progress.done.size, "ordered", progress.ordered?.size, "highestRun", progress.highestRun,
            "runsEndInMs", progress.runsEndInMs,
        )
    }

    /** Withdraws the request of [origin]. The job is cancelled if no other instance waits for it. */
    public fun cancel(job: JobId, origin: JobOrigin, reason: String) {
        val row = tables.jobs[job] ?: return
        row.origins -= origin
        if (row.origins.isNotEmpty()) return
        log.event("dispatch", "job-cancelled", "job", job, "reason", reason, "ordered", row.everDispatched)
        ends.end(row, JobResult.Cancelled, nowMs())
        place()
    }

    /**
     * Cancels the job for all instances that wait for it, now or later. Returns false if the cancellation was known
     * already.
     */
    public fun cancelForAll(job: JobId): Boolean {
        val nowMs = nowMs()
        val isNew = tables.cancelledJobs.add(job, nowMs)
        tables.jobs[job]?.let { ends.end(it, JobResult.Cancelled, nowMs) }
        return isNew
    }

    /** Whether [job] was cancelled for all instances within the last half minute. */
    public fun isCancelled(job: JobId): Boolean = job in tables.cancelledJobs

    /** Jobs that were cancelled for all instances within the last half minute. */
    public val cancelledJobs: List<JobId> get() = tables.cancelledJobs.all(nowMs())

    /**
     * Withdraws the jobs of an instance that is unreachable. Returns the progress of each, to be sent to the instance
     * in case it still receives messages.
     */
    public fun onInstanceLost(instance: String): List<Triple<JobOrigin, JobId, JobProgress>> {
        losses.onInstanceLost(nowMs())
        return tables.jobsOf(instance).map { (job, origin) ->
            val goesOn = job.origins.any { it.instance != instance }
            val progress = tables.progressOf(job, nowMs()).let { if (goesOn) it.copy(ordered = null) else it }
            cancel(job.request.id, origin, "instance $instance is lost")
            Triple(origin, job.request.id, progress)
        }
    }

    /** Withdraws the jobs of [instance] that are not among its open [requests]: it has sent them to another owner. */
    public fun retainRequests(instance: String, requests: Set<Long>) {
        val withdrawn = tables.jobsOf(instance).filter { (_, origin) -> origin.request !in requests }
        withdrawn.forEach { (job, origin) -> cancel(job.request.id, origin, "instance $instance has no such request") }
    }

    /**
     * [instance] has waited for the jobs of [requests] until [ageMs] ago, and may have sent them to another owner
     * since. The leases of their runs may be extended for a limited time from then on.
     */
    public fun renew(instance: String, requests: Collection<Long>, ageMs: Long) {
        val renewedAtMs = nowMs() - ageMs
        val numbers = requests.toSet()
        for (job in tables.jobs.values) {
            val isOpen = job.origins.any { it.instance == instance && it.request in numbers }
            if (isOpen) job.renewedAtMs = maxOf(job.renewedAtMs, renewedAtMs)
        }
    }

    /**
     * Withdraws the jobs that no instance has renewed for [DispatchSettings.withdrawAfterMs]. Returns the progress of
     * each, to be sent to the instances that may wait for it.
     */
    public fun withdrawUnrenewed(): List<Triple<JobOrigin, JobId, JobProgress>> {
        val nowMs = nowMs()
        val unrenewed = tables.jobs.values
            .filter { nowMs - maxOf(it.renewedAtMs, it.submittedAtMs) >= settings.withdrawAfterMs }
        return unrenewed.flatMap { job ->
            val progress = tables.progressOf(job, nowMs())
            job.origins.toList().map { origin ->
                cancel(job.request.id, origin, "not renewed for ${nowMs - job.renewedAtMs} ms")
                Triple(origin, job.request.id, progress)
            }
        }
    }

    /** Requests of other instances, and of this one, whose jobs are open here. */
    internal val openRequests: List<JobOrigin> get() = tables.jobs.values.flatMap { it.origins }

    public fun onStartResult(command: StartCommand, result: StartResult) {
        calls.run {
            replies.onStartResult(command, result, nowMs())
            place()
        }
    }

    /** A stop command was acknowledged by the backend server, or got no usable response. */
    public fun onStopResult(command: StopCommand, isAcknowledged: Boolean) {
        if (isAcknowledged) tables.runs.recordStopped(command, nowMs())
    }

    public fun onPollResult(request: PollRequest, number: Long, result: PollResult) {
        calls.run {
            replies.onPollResult(request, number, result, nowMs())
            poll()
            place()
        }
    }

    /**
     * Starts tasks, unless the process has just been paused: a message that was received before the pause may have been
     * revoked by one that is still unread. The next tick starts what is left.
     */
    private fun place() {
        if (isPassDue) return
        isPassDue = true
        calls.run {
            isPassDue = false
            val nowMs = nowMs()
            if (nowMs - tickedAtMs <= PAUSE_MS) placement.run(nowMs)
        }
    }

    private fun poll() = calls.run { polls.run(nowMs()) }

    /** Runs all timers; called every few milliseconds. */
    public fun tick() {
        val nowMs = nowMs()
        tickedAtMs = nowMs
        replies.runTimers(nowMs)
        ends.runDeadlines(nowMs)
        tables.reservations.expire(nowMs)
        tables.histories.prune(nowMs) { it in tables.jobs }
        poll()
        openJobSystem.run(nowMs)
        place()
    }

    /** Removes all jobs so that the next owner can continue them. Returns the progress of each. */
    public fun handOver(): List<Triple<JobOrigin, JobId, JobProgress>> {
        val moved = ArrayList<Triple<JobOrigin, JobId, JobProgress>>()
        val nowMs = nowMs()
        tables.backends.values.forEach { crashes.onUnlisted(it, nowMs) }
        for (job in tables.jobs.values) {
            val progress = tables.progressOf(job, nowMs())
            job.origins.forEach { moved += Triple(it, job.request.id, progress) }
            job.ended = true
        }
        tables.jobs.clear()
        tables.waiting.clear()
        tables.backends.clear()
        tables.reservations.clear()
        return moved
    }

    /** Whether any backend server of [failureDomain] has responded within [ageMs]; null if none is listed. */
    public fun hasRecentContact(failureDomain: String, ageMs: Long): Boolean? {
        val rows = tables.backendsIn(failureDomain)
        if (rows.isEmpty()) return null
        return rows.any { nowMs() - it.lastReportAtMs <= ageMs }
    }

    /** Whether any backend server is reachable. */
    public val hasReachableBackend: Boolean
        get() = tables.backends.values.any { it.lastReportAtMs != NEVER_MS && !it.isUnreachable }

    private companion object {
        const val FULL_PERCENT = 100
    }
}
