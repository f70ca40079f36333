package medlarroute.dispatch

/** Processes responses of backend servers: results of start commands and reports on runs. */
internal class DispatchReplies(
    private val settings: DispatchSettings,
    private val tables: DispatchTables,
    private val actions: DispatchActions,
    private val ends: JobEndSystem,
    private val health: BackendHealthSystem,
    private val crashes: CrashSystem,
    private val losses: RunLossSystem,
    private val placement: DispatchPlacement,
    private val log: EventLog,
) {
    fun onStartResult(command: StartCommand, result: StartResult, nowMs: Long) {
        val row = tables.backends[command.backend.id] ?: return
        val task = row.tasks[command.task]?.takeIf { it.run == command.run } ?: return
        if (task.state != TaskState.STARTING && task.state != TaskState.UNCERTAIN) return
        when (result) {
            is StartResult.Started -> {
                task.state = TaskState.RUNNING
                task.confirmedAtMs = result.clockMs
                tables.runs.recordConfirmed(task.key, task.run, row, result.clockMs)
            }

            is StartResult.Rejected -> onStartRejected(row, task, result.reason, nowMs)

            is StartResult.Unknown -> {
                task.state = TaskState.UNCERTAIN
                log.event(
                    "dispatch", "start-unknown", "job", task.key.job, "task", task.key, "run", task.run,
                    "backend", row.info.id, "reason", result.reason,
                )
                recordUnknown(row, task, result, nowMs)
            }
        }
    }

    /** Connections break together, so starts that were under way at the same time and got no response count once. */
    private fun recordUnknown(row: BackendRow, task: TaskRow, result: StartResult.Unknown, nowMs: Long) {
        if (!result.hasResponse) {
            if (task.dispatchedAtMs <= row.unansweredAtMs) return
            row.unansweredAtMs = nowMs
        }
        health.recordFailure(row, result.reason, nowMs)
    }

    private fun onStartRejected(row: BackendRow, task: TaskRow, reason: RejectReason, nowMs: Long) {
        log.event(
            "dispatch", "start-rejected", "job", task.key.job, "task", task.key, "run", task.run,
            "backend", row.info.id, "reason", reason,
        )
        tables.runs.recordRejected(task.key, task.run, row)
        when (reason) {
            RejectReason.FENCED -> {
                // The new owner is responsible for the runs there.
                losses.requeue(task, nowMs)
                actions.onFenced(row.info.failureDomain)
                return
            }

            RejectReason.OLD_RUN -> task.run += RUN_SKIP

            RejectReason.NO_ROOM -> row.pausedUntilMs = nowMs + NO_CAPACITY_PAUSE_MS

            RejectReason.EXPIRED -> Unit

            RejectReason.UNAVAILABLE -> health.recordFailure(row, "unavailable", nowMs)

            RejectReason.REFUSED -> {
                // The task did not start there, so it is not among those that may have crashed the backend server.
                losses.requeue(task, nowMs)
                losses.markRefused(row, nowMs)
                return
            }

            RejectReason.INVALID -> task.failedOn += row
        }
        losses.requeue(task, nowMs)
    }

    fun onPollResult(request: PollRequest, number: Long, result: PollResult, nowMs: Long) {
        val row = tables.backends[request.backend.id] ?: return
        if (number != row.pollNumber) return
        row.pollInFlight = false
        when (result) {
            is PollResult.Report -> onReport(row, result, nowMs)

            PollResult.Fenced -> actions.onFenced(row.info.failureDomain)

            // A partition may also reject connections, so the runs count as active until their lease has expired.
            PollResult.Refused -> losses.markRefused(row, nowMs)

            PollResult.Replaced -> {
                if (!row.isDisplaced) losses.onReplaced(row, "another process has the address", nowMs)
                row.isDisplaced = true
            }

            PollResult.Closed -> {
                row.isClosed = true
                onPollFailed(row, "connection closed", nowMs)
            }

            is PollResult.Failed -> onPollFailed(row, result.reason, nowMs)
        }
    }

    private fun onPollFailed(row: BackendRow, reason: String, nowMs: Long) {
        row.isRefusing = false
        losses.markUnreachable(row, reason, nowMs)
    }

    private fun onReport(row: BackendRow, report: PollResult.Report, nowMs: Long) {
        if (row.info.incarnation != 0L && report.incarnation != row.info.incarnation) {
            if (report.incarnation in row.formerIncarnations) return
            losses.onReplaced(row, "incarnation ${report.incarnation} after ${row.info.incarnation}", nowMs)
        }
        row.info = row.info.copy(incarnation = report.incarnation)
        if (row.lastReportAtMs == NEVER_MS) onFirstReport(row, nowMs)
        if (row.lastReportAtMs == NEVER_MS || row.isUnreachable) {
            log.event("backend", "reached", "backend", row.info.id, "runs", report.running.size)
            row.reachedAtMs = nowMs
            crashes.onReached(row, nowMs)
            row.lapsedRuns = emptyMap()
        }
        crashes.onReport(row, nowMs)
        row.unreachableSinceMs = NEVER_MS
        row.isRefusing = false
        row.isClosed = false
        row.isDisplaced = false
        row.clock.observe(report.clockMs, nowMs)
        row.lastReportAtMs = nowMs
        report.ended.forEach { onRunEnd(row, it, nowMs) }
        row.acknowledgedEnd = maxOf(row.acknowledgedEnd, report.ended.maxOfOrNull { it.number } ?: 0)
        reconcileRuns(row, report, nowMs)
    }

    /**
     * The previous owner may have granted a longer lease than this one grants first. It covers the runs that are found,
     * and also those that are started while it lasts.
     */
    private fun onFirstReport(row: BackendRow, nowMs: Long) {
        tables.runs.recordForeignLease(row, nowMs + longestRunMs(settings))
        row.lease.grantedUntilMs = maxOf(row.lease.grantedUntilMs, nowMs + settings.longestLeaseMs)
    }

    private fun onRunEnd(row: BackendRow, end: RunEnd, nowMs: Long) {
        if (end.number <= row.acknowledgedEnd) return
        tables.runs.recordEnded(end.task, end.run, row)
        row.unknownRuns.remove(end.task)
        val task = row.tasks[end.task]
        if (task == null || task.run != end.run) {
            onUnknownRunEnd(row, end, nowMs)
            return
        }
        tables.release(row, task)
        if (task.job.ended) return onUnknownRunEnd(row, end, nowMs)
        when (end.outcome) {
            RunOutcome.DONE -> onRunDone(row, task, nowMs)

            RunOutcome.FAILED -> onRunFailed(row, task, nowMs)

            RunOutcome.STOPPED, RunOutcome.LEASE_EXPIRED, RunOutcome.OTHER -> {
                log.event(
                    "dispatch", "run-lost", "job", task.key.job, "task", task.key, "run", task.run,
                    "backend", row.info.id, "outcome", end.outcome,
                )
                losses.requeue(task, nowMs)
            }
        }
    }

    /** A run that a previous owner or an earlier attempt at the job started has ended. */
    private fun onUnknownRunEnd(row: BackendRow, end: RunEnd, nowMs: Long) {
        val task = tables.jobs[end.task.job]?.task(end.task)
        when {
            task?.state == TaskState.QUEUED && end.outcome == RunOutcome.DONE -> {
                task.job.queuedTasks--
                completeTask(task, nowMs)
            }

            end.outcome == RunOutcome.DONE -> row.unclaimedCompletions[end.task] = nowMs
        }
    }

    private fun onRunDone(row: BackendRow, task: TaskRow, nowMs: Long) {
        if (!task.isAdopted) health.recordSuccess(row, task, (nowMs - task.dispatchedAtMs).toDouble(), nowMs)
        completeTask(task, nowMs)
    }

    private fun completeTask(task: TaskRow, nowMs: Long) {
        task.state = TaskState.DONE
        tables.reservations.onEnded(task)
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
        losses.requeue(task, nowMs)
    }

    private fun reconcileRuns(row: BackendRow, report: PollResult.Report, nowMs: Long) {
        val running = report.running.associateBy { it.task }
        tables.runs.reconcile(row, running, report.clockMs, nowMs)
        removeEndedUnknownRuns(row, running.keys, nowMs)
        for (run in report.running) reconcileRun(row, run, report.clockMs, nowMs)
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

    private fun reconcileRun(row: BackendRow, run: RunProgress, clockMs: Long, nowMs: Long) {
        tables.runs.recordReported(run.task, run.run, row, clockMs)
        val task = row.tasks[run.task]
        if (task == null || task.run != run.run) {
            val found = row.unknownRuns.getOrPut(run.task) {
                tables.runs.recordForeignLease(row, nowMs + longestRunMs(settings))
                UnknownRun(run.run, nowMs)
            }
            tables.jobs[run.task.job]?.task(run.task)?.let { adopt(row, found, it, nowMs) }
            return
        }
        if (task.state == TaskState.STARTING || task.state == TaskState.UNCERTAIN) task.state = TaskState.RUNNING
        task.missingSinceMs = NEVER_MS
        if (task.isStopRequested) {
            if (nowMs - task.stopRequestedAtMs > STOP_RETRY_MS) {
                ends.stop(task, nowMs)
                if (task.job.ended) actions.runsRemain(listOf(task.key))
            }
            return
        }
        // A report may be read late, so the clock of the backend server tells how long there was no progress.
        val stuckMs = clockMs - task.progressClockMs
        if (run.donePercent != task.donePercent) {
            task.donePercent = run.donePercent
            task.progressClockMs = clockMs
        } else if (stuckMs > settings.hangTimeoutMs shl task.hangs.coerceAtMost(MAX_DOUBLINGS)) {
            log.event(
                "dispatch", "run-hung", "job", task.key.job, "task", task.key, "run", task.run,
                "backend", row.info.id, "percent", run.donePercent, "forMs", stuckMs,
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
        val isOpen = task.state == TaskState.QUEUED || task.state == TaskState.BLOCKED
        if (!isOpen || found.stopSentAtMs != NEVER_MS || found.missingSinceMs != NEVER_MS) return
        if (task.key in row.tasks) return
        row.unknownRuns.remove(task.key)
        if (task.state == TaskState.QUEUED) task.job.queuedTasks--
        row.reserve(task)
        tables.reservations.onStarted(task, row)
        if (task.isSuspect) tables.reservations.reserve(row, task, nowMs)
        task.state = TaskState.RUNNING
        task.isAdopted = true
        task.run = found.run
        task.job.everDispatched = true
        task.dispatchedAtMs = nowMs
        task.donePercent = -1
        task.confirmedAtMs = row.backendClockMs(nowMs) ?: Long.MIN_VALUE
        log.event(
            "dispatch", "run-adopted", "job", task.key.job, "task", task.key, "run", task.run,
            "backend", row.info.id, "token", tables.token(row), "firstReportedMsAgo", nowMs - found.firstReportedMs,
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
        losses.requeue(task, nowMs)
    }

    fun runTimers(nowMs: Long) {
        val remaining = ArrayList<TaskKey>(0)
        for (row in tables.backends.values) {
            stopUnknownRuns(row, nowMs)
            remaining += runsToReport(row, nowMs)
            row.unclaimedCompletions.values.removeIf { nowMs - it > settings.unclaimedCompletionMs }
        }
        if (remaining.isNotEmpty()) actions.runsRemain(remaining)
        tables.runs.prune(nowMs) { it in tables.backends }
        losses.runTimers(nowMs)
    }

    /** Unknown runs of which the other owners have to be told, since no instance has submitted their jobs here. */
    private fun runsToReport(row: BackendRow, nowMs: Long): List<TaskKey> {
        if (row.unknownRuns.isEmpty()) return emptyList()
        val due = row.unknownRuns.filter { (task, run) ->
            tables.jobs[task.job] == null && nowMs - run.firstReportedMs >= RESUBMISSION_MS &&
                nowMs - run.announcedAtMs >= ANNOUNCE_INTERVAL_MS
        }
        due.values.forEach { it.announcedAtMs = nowMs }
        return due.keys.toList()
    }

    private fun stopUnknownRuns(row: BackendRow, nowMs: Long) {
        val token = tables.token(row) ?: return
        for ((task, run) in row.unknownRuns) {
            val mayBeResubmitted = tables.jobs[task.job] == null && task.job !in tables.cancelledJobs
            val isInGracePeriod = mayBeResubmitted && nowMs - run.firstReportedMs < settings.unknownRunGraceMs
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

        /** Several retries before the lease of the runs beside a run that is being stopped is limited. */
        const val STOP_RETRY_MS = 150L

        /** Interval of repeated messages on a run that remains. */
        const val ANNOUNCE_INTERVAL_MS = 500L

        /** After a takeover, instances submit their open jobs within this time. */
        const val RESUBMISSION_MS = 100L

        /** A long task on a slow backend server may report the same percentage for seconds. */
        const val MAX_DOUBLINGS = 4
    }
}
