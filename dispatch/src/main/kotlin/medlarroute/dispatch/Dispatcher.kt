package medlarroute.dispatch

import kotlin.time.TimeSource

/**
 * Runs the jobs of all instances on the backend servers of the failure domains that this instance owns.
 *
 * Admits whole jobs or refuses them, orders tasks, renews leases and tells each waiting instance one result per job.
 * Does no I/O. Not thread-safe: one thread makes all calls.
 */
public class Dispatcher(
    private val settings: DispatchSettings,
    clock: TimeSource.WithComparableMarks,
    private val actions: DispatchActions,
    private val log: EventLog,
) {
    private val elapsed = ElapsedClock(clock)
    private val tables = DispatchTables()
    private val ends = JobEndSystem(tables, actions, log)
    private val settling = SettlingSystem(settings, tables)
    private val backends = BackendHealthSystem(settings, tables, log)
    private val placement = DispatchPlacement(settings, tables, actions, settling, backends)
    private val admission = DispatchAdmission(settings, tables, backends, log)
    private val replies = DispatchReplies(settings, tables, actions, ends, backends, placement, log)
    private val looks = LookSystem(settings, tables, actions)

    /** Milliseconds since the dispatcher was created. */
    public fun nowMs(): Long = elapsed.nowMs()

    public val openJobs: Int get() = tables.jobs.size

    /** Demand of running and waiting tasks, as a part of the room of usable backend servers. */
    public fun loadPercent(): Int {
        val nowMs = nowMs()
        val serving = tables.backends.values.filter { it.isServing(nowMs) }
        val roomMillis = serving.sumOf { it.info.capacity.cpuMillis.toLong() }
        if (roomMillis == 0L) return FULL_PERCENT
        val runningMillis = serving.sumOf { (it.info.capacity.cpuMillis - it.free.cpuMillis).toLong() }
        val waitingMillis = tables.waiting.sumOf { it.queuedMillis() }
        return ((runningMillis + waitingMillis) * FULL_PERCENT / roomMillis).toInt()
    }

    /** Accepted jobs of [queue] of which no task was ever ordered. */
    public fun waitingJobs(queue: QueueId): Int =
        tables.jobs.values.count { it.queue.id == queue && !it.everOrdered }

    /** Failure domains that this instance owns. */
    public val ownedDomains: Set<String> get() = tables.tokens.keys

    public fun configure(configuration: DispatchConfiguration) {
        tables.configuration = configuration
    }

    /** Takes over [failureDomain]; orders there carry [token] from now on. */
    public fun own(failureDomain: String, token: Long) {
        tables.tokens[failureDomain] = token
        tables.ownedSinceMs[failureDomain] = nowMs()
    }

    /** Gives [failureDomain] up. Tasks that run there may go on under another owner, so they are left alone. */
    public fun disown(failureDomain: String) {
        tables.tokens.remove(failureDomain) ?: return
        tables.ownedSinceMs.remove(failureDomain)
        tables.backendsIn(failureDomain).forEach { forget(it, nowMs()) }
    }

    /** Replaces the list of backend servers of the owned failure domains. */
    public fun listBackends(listed: Collection<BackendInfo>) {
        val nowMs = nowMs()
        val owned = listed.filter { it.failureDomain in tables.tokens }.associateBy { it.id }
        tables.backends.values.filter { it.info.id !in owned }.forEach { forget(it, nowMs) }
        owned.values.forEach { listed(it, nowMs) }
    }

    private fun listed(info: BackendInfo, nowMs: Long) {
        val row = tables.backends[info.id]
        if (row == null) {
            tables.backends[info.id] = BackendRow(info)
            return
        }
        if (info.incarnation != 0L && info.incarnation in row.formerIncarnations) return
        if (!info.isSameProcess(row.info)) {
            replies.replaced(row, "listed with another process", nowMs)
            row.info = info
            return
        }
        if (info.draining !=
            row.info.draining
        ) {
            log.event("backend", "draining", "backend", info.id, "draining", info.draining)
        }
        val capacityChange = info.capacity - row.info.capacity
        row.free += capacityChange
        row.info = if (info.incarnation == 0L) info.copy(incarnation = row.info.incarnation) else info
    }

    private fun forget(row: BackendRow, nowMs: Long) {
        tables.backends.remove(row.info.id)
        row.removed = true
        replies.orphan(row, nowMs)
    }

    /**
     * Takes a job for [origin], which gets one result. A job that is open already is joined.
     *
     * @param timeoutMs how long the caller still waits.
     * @param waitedMs how long the caller has waited already.
     * @param progress what a previous owner knew of the job; null if the job is new.
     */
    public fun submit(
        request: JobRequest,
        origin: JobOrigin,
        timeoutMs: Long,
        waitedMs: Long = 0,
        progress: JobProgress? = null,
    ) {
        val nowMs = nowMs()
        tables.jobs[request.id]?.let { return it.join(origin) }
        val job = when (
            val decision = admission.decide(
                request,
                nowMs - waitedMs,
                nowMs + timeoutMs,
                progress,
                nowMs,
            )
        ) {
            is AdmissionDecision.Refused -> return actions.ended(origin, request.id, decision.result)
            is AdmissionDecision.Admitted -> decision.job
        }
        job.origins += origin
        tables.jobs[request.id] = job
        job.predecessor = tables.ending[request.id]?.also { job.highestRun = maxOf(it.highestRun, it.newestRun) }
        progress?.let { resume(job, it, nowMs) }
        replies.adoptKnownRuns(job, nowMs)
        placement.unblock(job)
        if (job.openTasks == 0) ends.end(job, JobResult.Complete, nowMs)
        placement.run(nowMs)
    }

    private fun JobRow.join(origin: JobOrigin) {
        origins += origin
        log.event("dispatch", "job-joined", "job", request.id, "origin", origin.instance)
    }

    private fun resume(job: JobRow, progress: JobProgress, nowMs: Long) {
        job.highestRun = maxOf(job.highestRun, progress.highestRun)
        job.everOrdered = true
        job.isResumed = true
        job.allTasks().forEach { it.startableAtMs = settling.startableAtMs(it.key, progress, nowMs) }
        progress.done.mapNotNull(job::task).forEach {
            it.state = TaskState.DONE
            job.openTasks--
        }
        log.event(
            "dispatch", "job-resumed", "job", job.request.id, "done", progress.done.size,
            "ordered", progress.ordered?.size, "highestRun", progress.highestRun,
        )
    }

    /** The caller has left, or its instance gives the job up. */
    public fun cancel(job: JobId, origin: JobOrigin, reason: String) {
        val row = tables.jobs[job] ?: return
        row.origins -= origin
        if (row.origins.isNotEmpty()) return
        log.event("dispatch", "job-cancelled", "job", job, "reason", reason, "ordered", row.everOrdered)
        ends.end(row, JobResult.Cancelled, nowMs())
        placement.run(nowMs())
    }

    /** Cancels the job for all who wait for it. */
    public fun cancelForAll(job: JobId): Boolean {
        val row = tables.jobs[job] ?: return false
        ends.end(row, JobResult.Cancelled, nowMs())
        return true
    }

    /**
     * The instance is out of sight: withdraws its jobs. Returns what was known of each, for the case that the instance
     * still hears this one.
     */
    public fun originLost(
        instance: String,
    ): List<Triple<JobOrigin, JobId, JobProgress>> = jobsOf(instance).map { (job, origin) ->
        val progress = progressOf(job)
        cancel(job.request.id, origin, "instance $instance is lost")
        Triple(origin, job.request.id, progress)
    }

    /** Withdraws the jobs of [instance] that are not among its [requests]: it has given them to another owner. */
    public fun retain(instance: String, requests: Set<Long>) {
        val left = jobsOf(instance).filter { (_, origin) -> origin.request !in requests }
        left.forEach { (job, origin) -> cancel(job.request.id, origin, "instance $instance has no such request") }
    }

    /** Open jobs that [instance] waits for, with its names for them. */
    private fun jobsOf(instance: String): List<Pair<JobRow, JobOrigin>> = tables.jobs.values.flatMap { job ->
        job.origins.filter { it.instance == instance }.map { job to it }
    }

    public fun startAnswered(order: StartCommand, result: StartResult) {
        replies.startAnswered(order, result, nowMs())
        placement.run(nowMs())
    }

    public fun looked(order: PollRequest, number: Long, result: PollResult) {
        replies.looked(order, number, result, nowMs())
        looks.run(nowMs())
        placement.run(nowMs())
    }

    /** Does what is due; called every few milliseconds. */
    public fun tick() {
        val nowMs = nowMs()
        replies.runTimers(nowMs)
        ends.runDeadlines(nowMs)
        looks.run(nowMs)
        placement.run(nowMs)
    }

    /** Ends all jobs here so that the next owner can go on with them. Returns what is known of each. */
    public fun handOver(): List<Triple<JobOrigin, JobId, JobProgress>> {
        val moved = ArrayList<Triple<JobOrigin, JobId, JobProgress>>()
        for (job in tables.jobs.values) {
            val progress = progressOf(job)
            job.origins.forEach { moved += Triple(it, job.request.id, progress) }
            job.ended = true
        }
        tables.jobs.clear()
        tables.waiting.clear()
        tables.ending.clear()
        tables.backends.clear()
        return moved
    }

    private fun progressOf(job: JobRow): JobProgress {
        val nowMs = nowMs()
        return JobProgress(
            done = job.allTasks().filter { it.state == TaskState.DONE }.map { it.key }.toList(),
            ordered = job.allTasks().filter { it.isOrdered || it.startableAtMs > nowMs }.map { it.key }.toList(),
            highestRun = maxOf(job.highestRun, job.newestRun),
        )
    }

    /** Whether some backend server of [failureDomain] has answered within [ageMs]; null if none is listed. */
    public fun isInContact(failureDomain: String, ageMs: Long): Boolean? {
        val rows = tables.backendsIn(failureDomain)
        if (rows.isEmpty()) return null
        return rows.any { nowMs() - it.seenAtMs <= ageMs }
    }

    /** Whether some backend server can be ordered now. */
    public val hasBackend: Boolean get() = tables.backends.values.any { it.seenAtMs != NEVER_MS && !it.isUnreachable }

    private companion object {
        const val FULL_PERCENT = 100
    }
}
