package medlarroute.dispatch

/**
 * Keeps two owners from running one job.
 *
 * A caller may send a job again through another instance while the first one does not know that its connection is
 * gone. Both instances then renew the job, possibly at two owners. A caller waits for a while before it does so, and
 * until then the first owner has told the others that the job is open there. They send a second submission on to it,
 * so that the caller gets the result of the runs that go on. Where that is not possible, they wait.
 */
internal class OpenJobSystem(
    private val settings: DispatchSettings,
    private val clock: ElapsedClock,
    private val tables: DispatchTables,
    private val ends: JobEndSystem,
    private val actions: DispatchActions,
    private val log: EventLog,
) {
    /** That a job is open at [owner], which is certain until [untilMs]. */
    private class OpenElsewhere(val owner: String, val untilMs: Long)

    private val openElsewhere = HashMap<JobId, OpenElsewhere>()
    private var announcedAtMs = NEVER_MS
    private var tickedAtMs = NEVER_MS

    /** The other owners that have not yet told of all jobs that are open there, with the end of the wait for each. */
    private val awaitedUntilMs = HashMap<String, Long>()

    /** Failure domains of which no owner has told, with the end of the runs that a lost one may have started. */
    private val awaitedDomainsUntilMs = HashMap<String, Long>()

    /** End of the time in which instances submit the jobs of a lost owner, or this one listens after a pause. */
    private var resubmissionsUntilMs = NEVER_MS

    /**
     * This instance has become an owner, or was paused as one. It starts no task before it knows of the jobs that are
     * open elsewhere.
     *
     * @param silenceMs the other owners, with the time for which each has sent nothing while this instance listened.
     *   Runs of one that has stopped end with their leases.
     * @param wasReleased whether the previous owner has told the instances that wait for its jobs.
     * @param unownedSilenceMs failure domains without a reachable owner, with the time for which none was heard.
     */
    fun awaitOwners(
        silenceMs: Map<String, Long>,
        wasReleased: Boolean,
        unownedSilenceMs: Map<String, Long> = emptyMap(),
    ) {
        val nowMs = clock.nowMs()
        awaitedUntilMs.clear()
        silenceMs.mapValuesTo(awaitedUntilMs) { (_, forMs) -> nowMs + MAX_LEASE_MS + STOP_MARGIN_MS - forMs }
        awaitedDomainsUntilMs.clear()
        unownedSilenceMs.mapValuesTo(awaitedDomainsUntilMs) { (_, forMs) ->
            nowMs + MAX_LEASE_MS + STOP_MARGIN_MS - forMs
        }
        awaitedDomainsUntilMs.values.removeIf { it <= nowMs }
        if (!wasReleased) resubmissionsUntilMs = nowMs + settings.resubmissionMs
        if (awaitedDomainsUntilMs.isNotEmpty()) {
            log.event(
                "dispatch",
                "owners-awaited",
                "owners",
                awaitedUntilMs.keys,
                "domains",
                awaitedDomainsUntilMs.keys,
                "forMs",
                awaitedDomainsUntilMs.values.max() - nowMs,
            )
        }
    }

    /** Delays all starts, since this instance does not know yet for which owners it has to wait. */
    fun startNothingBefore(atMs: Long) {
        resubmissionsUntilMs = maxOf(resubmissionsUntilMs, atMs)
    }

    /**
     * Called every few milliseconds while the process runs. Returns whether it was paused before. It then has to wait
     * for the other owners as a new one does: what they have told it meanwhile may be lost.
     */
    fun onTick(nowMs: Long): Boolean {
        val wasPaused = isPaused(nowMs)
        tickedAtMs = nowMs
        return wasPaused
    }

    private fun isPaused(nowMs: Long) = tickedAtMs != NEVER_MS && nowMs - tickedAtMs > LONG_PAUSE_MS

    private fun isReady(nowMs: Long): Boolean {
        if (isPaused(nowMs)) return false
        awaitedUntilMs.values.removeIf { nowMs >= it }
        awaitedDomainsUntilMs.values.removeIf { nowMs >= it }
        // The runs in a failure domain that this instance has acquired since are reported by its backend servers.
        awaitedDomainsUntilMs -= tables.tokens.keys
        return awaitedUntilMs.isEmpty() && awaitedDomainsUntilMs.isEmpty() && nowMs >= resubmissionsUntilMs
    }

    /** The owner other than this instance at which [job] is open; null if there is none, or the job is open here. */
    fun otherOwnerOrNull(job: JobId): String? =
        openElsewhere[job]?.takeIf { it.untilMs >= clock.nowMs() && job !in tables.jobs }?.owner

    /** The tasks of [job], which was just admitted, wait if it is open at another owner. */
    fun onAdmitted(job: JobRow, nowMs: Long) {
        val other = openElsewhere.remove(job.request.id)?.takeIf { it.untilMs >= nowMs } ?: return
        log.event("dispatch", "job-open-elsewhere", "job", job.request.id, "owner", other.owner)
        for (task in job.allTasks()) tables.runs.recordUnplaced(task.key, other.untilMs)
    }

    /**
     * Whether tasks of [job] may start as far as other owners are concerned. Those of an old job start only once the
     * other owners have been told of it and have had time to object.
     */
    fun mayStart(job: JobRow, nowMs: Long): Boolean = when {
        !isReady(nowMs) -> false
        nowMs - job.earliestArrivalMs < settings.earliestRepeatMs -> true
        else -> nowMs - job.announcedSinceMs >= settings.objectionMs && !isSeriesOver(job, nowMs)
    }

    private fun isSeriesOver(job: JobRow, nowMs: Long) = nowMs - job.announcedAtMs > 2 * settings.announceIntervalMs

    /** Another instance has become an owner, and waits to be told of the jobs here, also if there are none. */
    fun announceNow() {
        val nowMs = clock.nowMs()
        announce(tables.jobs.values.filter { nowMs - it.earliestArrivalMs >= settings.announceAfterMs }, nowMs, true)
    }

    /**
     * Another owner was away, and waits to be told of the jobs here. It may have an earlier submission of a job that
     * has come in here only now.
     */
    fun announceAll() = announce(tables.jobs.values.toList(), clock.nowMs(), areAll = true)

    /** Announces the jobs that are due. */
    fun run(nowMs: Long) {
        if (nowMs - announcedAtMs < MIN_INTERVAL_MS) return
        announcedAtMs = nowMs
        openElsewhere.values.removeIf { it.untilMs < nowMs }
        val due = tables.jobs.values.filter { isDue(it, nowMs) }
        if (due.isNotEmpty()) announce(due, nowMs)
    }

    private fun isDue(job: JobRow, nowMs: Long) = nowMs - job.earliestArrivalMs >= settings.announceAfterMs &&
        nowMs - job.announcedAtMs >= settings.announceIntervalMs

    private fun announce(jobs: List<JobRow>, nowMs: Long, areAll: Boolean = false) {
        for (job in jobs) {
            if (isSeriesOver(job, nowMs)) job.announcedSinceMs = nowMs
            job.announcedAtMs = nowMs
        }
        val (running, waiting) = jobs.partition { it.isRunning }
        actions.jobsOpen(OpenJobs(running.map { it.request.id }, waiting.map { it.request.id }, areAll))
    }

    /**
     * [jobs] are open at [owner].
     *
     * @param hasPrecedence whether [owner] keeps the jobs that both owners have announced and neither runs. Otherwise
     *   the one keeps them that has announced them first.
     * @param owned failure domains of [owner].
     */
    fun onAnnounced(owner: String, jobs: OpenJobs, hasPrecedence: Boolean, owned: Set<String> = emptySet()) {
        val nowMs = clock.nowMs()
        if (jobs.areAll) {
            awaitedUntilMs -= owner
            awaitedDomainsUntilMs -= owned
        }
        val untilMs = nowMs + longestRunMs(settings)
        val objections = ArrayList<JobRow>(0)
        for (id in jobs.running + jobs.waiting) {
            val job = tables.jobs[id]
            if (job == null) {
                openElsewhere[id] = OpenElsewhere(owner, untilMs)
                continue
            }
            val isRunningThere = id in jobs.running
            if (job.isRunning) {
                if (nowMs - job.announcedAtMs >= MIN_INTERVAL_MS) objections += job
                if (isRunningThere) holdBack(job, untilMs)
            } else if (isRunningThere || hasPrecedence || isSeriesOver(job, nowMs)) {
                yieldJob(job, owner, nowMs)
                openElsewhere[id] = OpenElsewhere(owner, untilMs)
            } else if (nowMs - job.announcedAtMs >= MIN_INTERVAL_MS) {
                objections += job
            }
        }
        if (objections.isNotEmpty()) announce(objections, nowMs)
    }

    /** Both owners have runs of [job]. Neither starts a task that the other one may be running. */
    private fun holdBack(job: JobRow, untilMs: Long) {
        for (task in job.allTasks()) {
            if (!task.isDispatched && task.state != TaskState.DONE) tables.runs.recordUnplaced(task.key, untilMs)
        }
    }

    /** Sends the instances that wait for [job], which has no run here, to [owner]. A later submission follows. */
    fun moveTo(job: JobRow, owner: String, nowMs: Long) {
        yieldJob(job, owner, nowMs)
        openElsewhere[job.request.id] = OpenElsewhere(owner, nowMs + longestRunMs(settings))
    }

    /** Sends the instances that wait for [job] to [owner]. */
    private fun yieldJob(job: JobRow, owner: String, nowMs: Long) {
        val progress = tables.progressOf(job, nowMs)
        val origins = job.origins.toList()
        log.event(
            "dispatch", "job-yielded", "job", job.request.id, "to", owner, "origins", origins.map { it.instance },
            "done", progress.done.size,
        )
        job.origins.clear()
        ends.end(job, JobResult.Cancelled, nowMs)
        origins.forEach { actions.jobMoved(it, job.request.id, progress, owner) }
    }

    private companion object {
        /** The other owners keep their connections for at least this time, so a shorter pause loses nothing. */
        const val LONG_PAUSE_MS = 400L

        /** A few ticks, so that jobs which become due one after the other are announced together. */
        const val MIN_INTERVAL_MS = 50L
    }
}
