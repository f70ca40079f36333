package medlarroute.dispatch

/** Processes responses of backend servers: results of start commands and reports on runs. */
internal class DispatchReplies(
    private val settings: DispatchSettings,
    private val tables: DispatchTables,
    private val actions: DispatchActions,
    private val ends: JobEndSystem,
    private val health: BackendHealthSystem,
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

    fun onStartResult(command: StartCommand, result: StartResult, nowMs: Long) {
        val row = tables.backends[command.backend.id] ?: return
        val task = row.tasks[command.task]?.takeIf { it.run == command.run } ?: return
        if (task.state != TaskState.STARTING && task.state != TaskState.UNCERTAIN) return
        when (result) {
            is StartResult.Started -> {
                task.state = TaskState.RUNNING
                task.confirmedAtMs = result.clockMs
            }

            is StartResult.Rejected -> onStartRejected(row, task, result.reason, nowMs)

            is StartResult.Unknown -> {
                task.state = TaskState.UNCERTAIN
                log.event(
                    "dispatch", "start-unknown", "job", task.key.job, "task", task.key, "run", task.run,
                    "backend", row.info.id, "reason", result.reason,
                )
                health.recordFailure(row, result.reason, nowMs)
            }
        }
    }

    private fun onStartRejected(row: BackendRow, task: TaskRow, reason: RejectReason, nowMs: Long) {
        log.event(
            "dispatch", "start-rejected", "job", task.key.job, "task", task.key, "run", task.run,
            "backend", row.info.id, "reason", reason,
        )
        when (reason) {
            RejectReason.FENCED -> {
                // The new owner is responsible for the runs there.
                requeue(task, nowMs)
                actions.onFenced(row.info.failureDomain)
                return
            }

            RejectReason.OLD_RUN -> task.run += RUN_SKIP

            RejectReason.NO_ROOM -> row.pausedUntilMs = nowMs + NO_CAPACITY_PAUSE_MS

            RejectReason.EXPIRED -> Unit

            RejectReason.UNAVAILABLE -> health.recordFailure(row, "unavailable", nowMs)

            RejectReason.REFUSED -> {
                // The task did not start there, so it is not among those that may have crashed the backend server.
                requeue(task, nowMs)
                markRefused(row, nowMs)
                return
            }

            RejectReason.INVALID -> task.failedOn += row
        }
        requeue(task, nowMs)
    }

    private fun requeue(task: TaskRow, nowMs: Long) {
        task.backend?.release(task)
        val job = task.job
        if (job.ended || task.state == TaskState.DONE) return
        placement.enqueue(task)
        crashes.resultOrNull(task)?.let { ends.end(job, it, nowMs) }
    }

    fun onPollResult(request: PollRequest, number: Long, result: PollResult, nowMs: Long) {
        val row = tables.backends[request.backend.id] ?: return
        if (number != row.pollNumber) return
        row.pollInFlight = false
        when (result) {
            is PollResult.Report -> onReport(row, result, nowMs)

            PollResult.Fenced -> actions.onFenced(row.info.failureDomain)

            // A partition may also reject connections, so the runs count as active until their lease has expired.
            PollResult.Refused -> markRefused(row, nowMs)

            PollResult.Replaced -> {
                if (!row.isDisplaced) onReplaced(row, "another process has the address", nowMs)
                row.isDisplaced = true
            }

            is PollResult.Failed -> {
                row.isRefusing = false
                markUnreachable(row, result.reason, nowMs)
            }
        }
    }

    private fun onReport(row: BackendRow, report: PollResult.Report, nowMs: Long) {
        if (row.info.incarnation != 0L && report.incarnation != row.info.incarnation) {
            if (report.incarnation in row.formerIncarnations) return
            onReplaced(row, "incarnation ${report.incarnation} after ${row.info.incarnation}", nowMs)
        }
        row.info = row.info.copy(incarnation = report.incarnation)
        if (row.lastReportAtMs == NEVER_MS || row.isUnreachable) {
            log.event("backend", "reached", "backend", row.info.id, "runs", report.running.size)
            row.reachedAtMs = nowMs
            crashes.onReached(row, nowMs)
            row.lapsedTasks = emptyList()
        }
        row.unreachableSinceMs = NEVER_MS
        row.isRefusing = false
        row.isDisplaced = false
        row.clockOffsetMs = report.clockMs - nowMs
        row.lastReportAtMs = nowMs
        report.ended.forEach { onRunEnd(row, it, nowMs) }
        row.acknowledgedEnd = maxOf(row.acknowledgedEnd, report.ended.maxOfOrNull { it.number } ?: 0)
        reconcileRuns(row, report, nowMs)
    }

    private fun onRunEnd(row: BackendRow, end: RunEnd, nowMs: Long) {
        if (end.number <= row.acknowledgedEnd) return
        row.unknownRuns.remove(end.task)
        val task = row.tasks[end.task]
        if (task == null || task.run != end.run) {
            onUnknownRunEnd(row, end, nowMs)
            return
        }
        row.release(task)
        if (task.job.ended) return
        when (end.outcome) {
            RunOutcome.DONE -> onRunDone(row, task, nowMs)

            RunOutcome.FAILED -> onRunFailed(row, task, nowMs)

            RunOutcome.STOPPED, RunOutcome.LEASE_EXPIRED, RunOutcome.OTHER -> {
                log.event(
                    "dispatch", "run-lost", "job", task.key.job, "task", task.key, "run", task.run,
                    "backend", row.info.id, "outcome", end.outcome,
                )
                requeue(task, nowMs)
            }
        }
    }

    /** A run that a previous owner started has ended. */
    private fun onUnknownRunEnd(row: BackendRow, end: RunEnd, nowMs: Long) {
        val task = tables.jobs[end.task.job]?.task(end.task)
        when {
            task?.state == TaskState.QUEUED && end.outcome == RunOutcome.DONE -> {
                task.job.queuedTasks--
                completeTask(task, nowMs)
            }

            task?.state == TaskState.QUEUED -> task.notBeforeMs = NEVER_MS

            end.outcome == RunOutcome.DONE -> row.unclaimedCompletions[end.task] = nowMs
        }
    }

    private fun onRunDone(row: BackendRow, task: TaskRow, nowMs: Long) {
        if (!task.isAdopted) health.recordSuccess(row, task, (nowMs - task.dispatchedAtMs).toDouble())
        completeTask(task, nowMs)
    }

    private fun completeTask(task: TaskRow, nowMs: Long) {
        task.state = TaskState.DONE
        val job = task.job
        if (--job.openTasks == 0) return ends.end(job, JobResult.Complete, nowMs)
        if (job.request.steps.size > 1) placement.unblock(job)
    }

    private fun onRunFailed(row: BackendRow, task: TaskRow, nowMs: Long) {
        crashes.recordFailure(task, nowMs)
        task.failedOn += row
        log.event(
            "dispatch", "run-failed", "job", task.key.job, "task", task.key, "run", task.run,
            "backend", row.info.id, "failures", task.failures, "most", task.job.queue.maxAttempts,
        )
        // If the task has failed on another backend server before, the task is the more likely cause.
        if (task.failures == 1) health.recordFailure(row, "failed runs", nowMs)
        if (task.failedOn.size >= tables.backends.size) task.failedOn.clear()
        requeue(task, nowMs)
    }

    private fun reconcileRuns(row: BackendRow, report: PollResult.Report, nowMs: Long) {
        val running = report.running.associateBy { it.task }
        removeEndedUnknownRuns(row, running.keys, nowMs)
        for (run in report.running) reconcileRun(row, run, nowMs)
        val missing = row.tasks.values.filter { it.run != running[it.key]?.run }
        missing.forEach { onRunMissing(row, it, report.clockMs, nowMs) }
    }

    private fun removeEndedUnknownRuns(row: BackendRow, running: Set<TaskKey>, nowMs: Long) {
        row.unknownRuns.entries.removeIf { (task, run) ->
            if (task in running) {
                run.missingSinceMs = NEVER_MS
            } else if (run.missingSinceMs == NEVER_MS) {
                run.missingSinceMs = nowMs
            }
            run.missingSinceMs != NEVER_MS && nowMs - run.missingSinceMs >= STOP_MARGIN_MS
        }
    }

    private fun reconcileRun(row: BackendRow, run: RunProgress, nowMs: Long) {
        val task = row.tasks[run.task]
        if (task == null || task.run != run.run) {
            val found = row.unknownRuns.getOrPut(run.task) { UnknownRun(run.run, nowMs) }
            tables.jobs[run.task.job]?.task(run.task)?.let { adopt(row, found, it, nowMs) }
            return
        }
        if (task.state == TaskState.STARTING || task.state == TaskState.UNCERTAIN) task.state = TaskState.RUNNING
        task.missingSinceMs = NEVER_MS
        if (task.isStopRequested) {
            if (nowMs - task.stopRequestedAtMs > STOP_RETRY_MS) ends.stop(task, nowMs)
        } else if (run.donePercent != task.donePercent) {
            task.donePercent = run.donePercent
            task.progressAtMs = nowMs
        } else if (nowMs - task.progressAtMs > settings.hangTimeoutMs shl task.hangs.coerceAtMost(MAX_DOUBLINGS)) {
            log.event(
                "dispatch", "run-hung", "job", task.key.job, "task", task.key, "run", task.run,
                "backend", row.info.id, "percent", run.donePercent, "forMs", nowMs - task.progressAtMs,
            )
            // If the task has hung on another backend server before, the task is the more likely cause.
            if (task.hangs++ == 0) {
                health.recordFailure(row, "hung run", nowMs, weight = BackendHealthSystem.EJECT_AFTER)
            }
            ends.stop(task, nowMs)
        }
    }

    /** Assigns to [job] the runs that a previous owner started for it, and their completions. */
    fun adoptUnknownRuns(job: JobRow, nowMs: Long) {
        for (task in job.allTasks()) {
            for (row in tables.backends.values) {
                row.unknownRuns[task.key]?.let { adopt(row, it, task, nowMs) }
                if (row.unclaimedCompletions.remove(task.key) != null && task.state == TaskState.BLOCKED) {
                    task.state = TaskState.DONE
                    job.openTasks--
                }
            }
        }
    }

    private fun adopt(row: BackendRow, found: UnknownRun, task: TaskRow, nowMs: Long) {
        // The backend server was missing from the list and is back before the lease has expired.
        val isOwnOrphan = task.isOrphan && task.state == TaskState.UNCERTAIN && task.run == found.run
        val isOpen = task.state == TaskState.QUEUED || task.state == TaskState.BLOCKED || isOwnOrphan
        if (!isOpen || found.stopSentAtMs != NEVER_MS || found.missingSinceMs != NEVER_MS) return
        task.isOrphan = false
        row.unknownRuns.remove(task.key)
        if (task.state == TaskState.QUEUED) task.job.queuedTasks--
        row.reserve(task)
        if (task.isSuspect) row.reservedFor = task
        task.state = TaskState.RUNNING
        task.isAdopted = true
        task.run = found.run
        task.job.everDispatched = true
        task.dispatchedAtMs = nowMs
        task.progressAtMs = nowMs
        task.confirmedAtMs = row.backendClockMs(nowMs) ?: Long.MIN_VALUE
        log.event(
            "dispatch", "run-adopted", "job", task.key.job, "task", task.key, "run", task.run,
            "backend", row.info.id,
        )
    }

    /** The backend server reports neither an active run of [task] nor its end. */
    private fun onRunMissing(row: BackendRow, task: TaskRow, clockMs: Long, nowMs: Long) {
        val isLost = when (task.state) {
            TaskState.RUNNING -> clockMs > task.confirmedAtMs

            // After this time, the backend server rejects the start command.
            TaskState.STARTING, TaskState.UNCERTAIN -> clockMs > task.validUntilMs

            TaskState.BLOCKED, TaskState.QUEUED, TaskState.DONE -> false
        }
        if (!isLost) return
        // A run that is being stopped uses its capacity until its end is listed.
        if (task.missingSinceMs == NEVER_MS) task.missingSinceMs = nowMs
        if (task.isStopRequested && nowMs - task.missingSinceMs < STOP_MARGIN_MS) return
        log.event(
            "dispatch", "run-missing", "job", task.key.job, "task", task.key, "run", task.run,
            "backend", row.info.id, "state", task.state,
        )
        requeue(task, nowMs)
    }

    private fun markRefused(row: BackendRow, nowMs: Long) {
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

    private fun markUnreachable(row: BackendRow, reason: String, nowMs: Long) {
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
            stopUnknownRuns(row, nowMs)
            row.unclaimedCompletions.values.removeIf { nowMs - it > settings.unclaimedCompletionMs }
            if (row.isRefusing && nowMs - row.unreachableSinceMs >= settings.crashConfirmationMs) failJobs(row, nowMs)
            val runsEndMs = row.leaseEndMs + if (mayBeReplaced(nowMs)) extensionMs() else 0
            if (row.isUnreachable && row.tasks.isNotEmpty() && nowMs > runsEndMs) {
                log.event("backend", "leases-lapsed", "backend", row.info.id, "tasks", row.tasks.size)
                logInterrupted(row, if (row.isRefusing) "REFUSED" else "SILENT")
                crashes.reviewLoss(row, nowMs)
                if (!row.isRefusing) row.lapsedTasks += row.tasks.values
                row.tasks.values.toList().forEach { requeue(it, nowMs) }
            }
        }
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

    private fun stopUnknownRuns(row: BackendRow, nowMs: Long) {
        val token = tables.token(row) ?: return
        for ((task, run) in row.unknownRuns) {
            val isInGracePeriod =
                tables.jobs[task.job] == null && nowMs - run.firstReportedMs < settings.unknownRunGraceMs
            if (isInGracePeriod || nowMs - run.stopSentAtMs < STOP_RETRY_MS) continue
            run.stopSentAtMs = nowMs
            actions.stop(StopCommand(row.info, task, run.run, token))
            log.event(
                "dispatch", "unknown-run-stopped", "job", task.job, "task", task, "run", run.run,
                "backend", row.info.id,
            )
        }
    }

    private companion object {
        /** More than the number of attempts that a previous owner may have made. */
        const val RUN_SKIP = 10

        /** A short pause suffices, since the next poll reports the runs that use the capacity. */
        const val NO_CAPACITY_PAUSE_MS = 30L
        const val STOP_RETRY_MS = 500L

        /** A long task on a slow backend server may report the same percentage for seconds. */
        const val MAX_DOUBLINGS = 4

        /** Longer than a lease, the detection of a silent owner and a takeover together. */
        const val REPLACEMENT_MS = 3_000L
    }
}
