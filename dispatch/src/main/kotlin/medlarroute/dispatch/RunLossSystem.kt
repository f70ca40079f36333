package medlarroute.dispatch

/**
 * Decides when the runs on lost backend servers have ended, and lets their tasks start again: at the end of the lease,
 * or at once if another process has replaced the backend server.
 */
internal class RunLossSystem(
    private val settings: DispatchSettings,
    private val tables: DispatchTables,
    private val ends: JobEndSystem,
    private val crashes: CrashSystem,
    private val placement: DispatchPlacement,
    private val log: EventLog,
) {
    /**
     * Task whose backend server is no longer controlled by this instance. It is requeued when the lease of its run has
     * ended.
     */
    private class Orphan(val task: TaskRow, val run: Int, var leaseEndMs: Long)

    private val orphans = ArrayList<Orphan>()

    /** Time at which another instance was last lost. */
    var instanceLostAtMs = NEVER_MS

    /** Lets [task] start again, unless it is given up. */
    fun requeue(task: TaskRow, nowMs: Long) {
        task.backend?.release(task)
        val job = task.job
        if (job.ended || task.state == TaskState.DONE) return
        placement.enqueue(task)
        crashes.resultOrNull(task)?.let { ends.end(job, it, nowMs) }
    }

    fun markRefused(row: BackendRow, nowMs: Long) {
        row.isRefusing = true
        markUnreachable(row, "connection refused", nowMs)
        crashes.recordCrash(row, CrashEvidence.REFUSED, nowMs)
    }

    private fun logInterrupted(row: BackendRow, cause: String) {
        for (task in row.tasks.values) {
            log.event(
                "dispatch", "run-interrupted", "job", task.key.job, "task", task.key, "run", task.run,
                "backend", row.info.id, "incarnation", row.info.incarnation, "cause", cause,
                "beside", row.tasks.size - 1, "state", task.state,
            )
        }
    }

    fun markUnreachable(row: BackendRow, reason: String, nowMs: Long) {
        if (row.isUnreachable) return
        row.unreachableSinceMs = nowMs
        log.event(
            "backend", "unreachable", "backend", row.info.id, "reason", reason, "tasks", row.tasks.size,
            "seenMsAgo", nowMs - row.lastReportAtMs, "leaseEndsInMs", row.leaseEndMs - nowMs,
        )
    }

    /** The backend server runs as a new process, which has none of the runs of the previous one. */
    fun onReplaced(row: BackendRow, reason: String, nowMs: Long) {
        log.event("backend", "replaced", "backend", row.info.id, "reason", reason, "tasks", row.tasks.size)
        logInterrupted(row, "REPLACED")
        if (row.info.incarnation != 0L) row.formerIncarnations += row.info.incarnation
        crashes.recordCrash(row, CrashEvidence.REPLACED, nowMs)
        row.lapsedTasks = emptyList()
        row.tasks.values.toList().forEach { requeue(it, nowMs) }
        row.unknownRuns.clear()
        row.unclaimedCompletions.clear()
        row.acknowledgedEnd = 0
        row.clockOffsetMs = null
        row.lastReportAtMs = NEVER_MS
        row.pollInFlight = false
        row.pollNumber++
        row.pollSentAtMs = nowMs
        row.free = row.info.capacity
        row.info = row.info.copy(incarnation = 0)
        row.isDescribed = false
    }

    /**
     * The backend server is no longer controlled by this instance; its runs end at the latest with their lease. If
     * [isReleased], another owner may extend the lease of runs whose jobs it does not know until it stops them.
     */
    fun orphan(row: BackendRow, nowMs: Long, isReleased: Boolean) {
        val leaseEndMs = maxOf(row.leaseEndMs, nowMs) + if (isReleased || mayBeReplaced(nowMs)) extensionMs() else 0
        for (task in row.tasks.values.toList()) {
            row.release(task)
            if (!task.job.ended) task.state = TaskState.UNCERTAIN
            task.isOrphan = true
            orphans += Orphan(task, task.run, leaseEndMs)
        }
    }

    /** How long after the end of this owner's lease a run may be active if another owner extends the lease. */
    private fun extensionMs(): Long = settings.unknownRunGraceMs + MAX_LEASE_MS

    /**
     * Whether this instance may be on the side of a partition that has lost its backend servers to another owner. That
     * owner extends the leases of runs whose jobs it does not know until it stops them.
     */
    private fun mayBeReplaced(nowMs: Long): Boolean = nowMs - instanceLostAtMs < REPLACEMENT_MS

    /** A backend server that this instance no longer controls has acknowledged [command], so the run ends soon. */
    fun onOrphanStopped(command: StopCommand, nowMs: Long) {
        orphans.filter { it.task.key == command.task && it.run == command.run }
            .forEach { it.leaseEndMs = minOf(it.leaseEndMs, nowMs + STOP_MARGIN_MS) }
    }

    fun runTimers(nowMs: Long) {
        for (row in tables.backends.values) {
            if (row.isRefusing && nowMs - row.unreachableSinceMs >= settings.crashConfirmationMs) failJobs(row, nowMs)
            val runsEndMs = row.leaseEndMs + if (mayBeReplaced(nowMs)) extensionMs() else 0
            if (row.isUnreachable && row.tasks.isNotEmpty() && nowMs > runsEndMs) onLeasesLapsed(row, nowMs)
        }
        crashes.waitingJobsToFail().forEach { (job, result) -> ends.end(job, result, nowMs) }
        endOrphans(nowMs)
    }

    private fun onLeasesLapsed(row: BackendRow, nowMs: Long) {
        log.event("backend", "leases-lapsed", "backend", row.info.id, "tasks", row.tasks.size)
        logInterrupted(row, if (row.isRefusing) "REFUSED" else "SILENT")
        crashes.reviewLoss(row, nowMs)
        if (!row.isRefusing) row.lapsedTasks += row.tasks.values
        row.tasks.values.toList().forEach { requeue(it, nowMs) }
    }

    private fun endOrphans(nowMs: Long) {
        val due = orphans.filter { it.leaseEndMs <= nowMs }
        orphans.removeAll(due)
        for (orphan in due) {
            orphan.task.isOrphan = false
            if (orphan.task.run == orphan.run && orphan.task.state == TaskState.UNCERTAIN) requeue(orphan.task, nowMs)
        }
    }

    /** Ends the jobs whose tasks have crashed [row]; their callers need not wait for the leases to expire. */
    private fun failJobs(row: BackendRow, nowMs: Long) {
        if (row.tasks.isEmpty()) return
        crashes.reviewLoss(row, nowMs)
        crashes.jobsToFail(row).forEach { (job, result) -> ends.end(job, result, nowMs) }
    }

    private companion object {
        /** Longer than a lease, the detection of a silent owner and a takeover together. */
        const val REPLACEMENT_MS = 3_000L
    }
}
