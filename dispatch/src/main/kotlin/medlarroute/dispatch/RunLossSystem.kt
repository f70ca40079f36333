package medlarroute.dispatch

import medlarroute.dispatch.slowstart.SlowStartSystem

/**
 * Queues the tasks of lost backend servers again: at the end of the lease if the backend server is silent, at once if
 * it is no longer listed or runs as another process. [ActiveRunTable] decides when they may start.
 */
internal class RunLossSystem(
    private val settings: DispatchSettings,
    private val tables: DispatchTables,
    private val ends: JobEndSystem,
    private val crashes: CrashSystem,
    private val placement: DispatchPlacement,
    private val slowStart: SlowStartSystem,
    private val log: EventLog,
) {
    /** Time at which another instance was last lost. */
    private var instanceLostAtMs = NEVER_MS

    /** Lets [task] start again, unless it is given up. */
    fun requeue(task: TaskRow, nowMs: Long) {
        task.backend?.let { tables.release(it, task) }
        val job = task.job
        if (job.ended || task.state == TaskState.DONE) return
        placement.enqueue(task)
        crashes.resultOrNull(task)?.let { ends.end(job, it, nowMs) }
    }

    fun markRefused(row: BackendRow, nowMs: Long) {
        row.isRefusing = true
        markUnreachable(row, "connection refused", nowMs)
        crashes.recordCrash(row, if (row.isClosed) CrashEvidence.CLOSED else CrashEvidence.REFUSED, nowMs)
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
            "seenMsAgo", nowMs - row.lastReportAtMs, "leaseEndsInMs", row.lease.latestEndMs - nowMs,
        )
    }

    /** The backend server runs as a new process, which has none of the runs of the previous one. */
    fun onReplaced(row: BackendRow, reason: String, nowMs: Long) {
        log.event("backend", "replaced", "backend", row.info.id, "reason", reason, "tasks", row.tasks.size)
        logInterrupted(row, "REPLACED")
        slowStart.onReplaced(row, nowMs)
        if (row.info.incarnation != 0L) row.formerIncarnations += row.info.incarnation
        crashes.recordCrash(row, CrashEvidence.REPLACED, nowMs)
        row.lapsedRuns = emptyMap()
        row.isClosed = false
        row.tasks.values.toList().forEach { requeue(it, nowMs) }
        row.unknownRuns.clear()
        row.unclaimedCompletions.clear()
        row.acknowledgedEnd = 0
        row.clock.reset()
        row.lastReportAtMs = NEVER_MS
        row.pollInFlight = false
        row.pollNumber++
        row.pollSentAtMs = nowMs
        row.free = row.info.capacity
        row.info = row.info.copy(incarnation = 0)
        row.isDescribed = false
    }

    /** The backend server is no longer controlled by this instance; its runs end at the latest with their lease. */
    fun onUnlisted(row: BackendRow, nowMs: Long, isReleased: Boolean) {
        if (mayBeReplaced(nowMs)) extendByOtherOwner(nowMs) { it === row.lease }
        logInterrupted(row, if (isReleased) "RELEASED" else "UNLISTED")
        crashes.onUnlisted(row, nowMs)
        row.tasks.values.toList().forEach { requeue(it, nowMs) }
    }

    /**
     * The next owner of [failureDomain] may extend the leases of runs whose jobs it does not know until it stops them,
     * also on backend servers that were not listed here.
     */
    fun onReleased(failureDomain: String, nowMs: Long) {
        crashes.onReleased(failureDomain)
        extendByOtherOwner(nowMs) { it.failureDomain == failureDomain }
    }

    /** The lost instance may have become the owner of backend servers that are not listed here. */
    fun onInstanceLost(nowMs: Long) {
        instanceLostAtMs = nowMs
        extendByOtherOwner(nowMs) { it.backend !in tables.backends }
    }

    private fun extendByOtherOwner(nowMs: Long, isAffected: (BackendLease) -> Boolean) =
        tables.runs.extendByOtherOwner(extensionMs(), nowMs, isAffected)

    /** How long after the end of this owner's lease a run may be active if another owner extends the lease. */
    private fun extensionMs(): Long = settings.unknownRunGraceMs + MAX_LEASE_MS

    /**
     * Whether this instance may be on the side of a partition that has lost its backend servers to another owner. That
     * owner extends the leases of runs whose jobs it does not know until it stops them.
     */
    private fun mayBeReplaced(nowMs: Long): Boolean = nowMs - instanceLostAtMs < REPLACEMENT_MS

    fun runTimers(nowMs: Long) {
        for (row in tables.backends.values) {
            if (row.isRefusing && nowMs - row.unreachableSinceMs >= settings.crashConfirmationMs) failJobs(row, nowMs)
            val runsEndMs = row.lease.latestEndMs + if (mayBeReplaced(nowMs)) extensionMs() else 0
            if (row.isUnreachable && row.tasks.isNotEmpty() && nowMs > runsEndMs) onLeasesLapsed(row, nowMs)
        }
        crashes.waitingJobsToFail().forEach { (job, result) -> ends.end(job, result, nowMs) }
    }

    private fun onLeasesLapsed(row: BackendRow, nowMs: Long) {
        log.event("backend", "leases-lapsed", "backend", row.info.id, "tasks", row.tasks.size)
        logInterrupted(row, if (row.isRefusing) "REFUSED" else "SILENT")
        crashes.reviewLoss(row, nowMs)
        if (!row.isRefusing) row.lapsedRuns += row.lostRuns(nowMs)
        row.tasks.values.toList().forEach { requeue(it, nowMs) }
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
