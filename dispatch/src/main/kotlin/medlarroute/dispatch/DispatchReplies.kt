package medlarroute.dispatch

/** Takes in what backend servers say: results of orders, runs and ends. */
internal class DispatchReplies(
    private val settings: DispatchSettings,
    private val tables: DispatchTables,
    private val actions: DispatchActions,
    private val ends: JobEndSystem,
    private val health: BackendHealthSystem,
    private val placement: DispatchPlacement,
    private val log: EventLog,
) {
    /** Tasks whose backend server is out of sight, until no run of theirs can be alive. */
    private class Orphan(val task: TaskRow, val run: Int, val freeAtMs: Long)

    private val orphans = ArrayList<Orphan>()

    fun startAnswered(order: StartCommand, result: StartResult, nowMs: Long) {
        val row = tables.backends[order.backend.id] ?: return
        val task = row.tasks[order.task]?.takeIf { it.run == order.run } ?: return
        if (task.state != TaskState.STARTING && task.state != TaskState.UNCERTAIN) return
        when (result) {
            is StartResult.Started -> {
                task.state = TaskState.RUNNING
                task.confirmedAtMs = result.clockMs
            }

            is StartResult.Rejected -> rejected(row, task, result.reason, nowMs)

            is StartResult.Unknown -> {
                task.state = TaskState.UNCERTAIN
                log.event(
                    "dispatch", "start-unknown", "job", task.key.job, "task", task.key, "run", task.run,
                    "backend", row.info.id, "reason", result.reason,
                )
                health.failed(row, result.reason, nowMs)
            }
        }
    }

    private fun rejected(row: BackendRow, task: TaskRow, reason: RejectReason, nowMs: Long) {
        log.event(
            "dispatch", "start-rejected", "job", task.key.job, "task", task.key, "run", task.run,
            "backend", row.info.id, "reason", reason,
        )
        when (reason) {
            RejectReason.FENCED -> {
                // The new owner decides about the runs there.
                requeue(task)
                actions.fenced(row.info.failureDomain)
                return
            }

            RejectReason.OLD_RUN -> task.run += RUN_SKIP

            RejectReason.NO_ROOM -> row.heldUntilMs = nowMs + NO_ROOM_HOLD_MS

            RejectReason.EXPIRED -> Unit

            RejectReason.UNAVAILABLE -> health.failed(row, "unavailable", nowMs)

            RejectReason.REFUSED -> unreachable(row, "connection refused", nowMs)

            RejectReason.INVALID -> task.failedOn += row
        }
        requeue(task)
    }

    private fun requeue(task: TaskRow) {
        task.backend?.vacate(task)
        val job = task.job
        if (job.ended || task.state == TaskState.DONE) return
        placement.enqueue(task)
    }

    fun looked(order: PollRequest, number: Long, result: PollResult, nowMs: Long) {
        val row = tables.backends[order.backend.id] ?: return
        if (number != row.lookNumber) return
        row.looking = false
        when (result) {
            is PollResult.Report -> seen(row, result, nowMs)

            PollResult.Fenced -> actions.fenced(row.info.failureDomain)

            // A partition may refuse connections, too, so runs there count as alive until their lease has lapsed.
            PollResult.Refused -> unreachable(row, "connection refused", nowMs)

            PollResult.Replaced -> replaced(row, "another process has the address", nowMs)

            is PollResult.Failed -> unreachable(row, result.reason, nowMs)
        }
    }

    private fun seen(row: BackendRow, view: PollResult.Report, nowMs: Long) {
        if (row.info.incarnation != 0L && view.incarnation != row.info.incarnation) {
            if (view.incarnation in row.formerIncarnations) return
            replaced(row, "incarnation ${view.incarnation} after ${row.info.incarnation}", nowMs)
        }
        row.info = row.info.copy(incarnation = view.incarnation)
        if (row.seenAtMs == NEVER_MS || row.isUnreachable) {
            log.event("backend", "reached", "backend", row.info.id, "runs", view.running.size)
        }
        row.unreachableSinceMs = NEVER_MS
        row.clockOffsetMs = view.clockMs - nowMs
        row.seenAtMs = nowMs
        view.ended.forEach { ended(row, it, nowMs) }
        row.acknowledgedEnd = maxOf(row.acknowledgedEnd, view.ended.maxOfOrNull { it.number } ?: 0)
        compareRuns(row, view, nowMs)
    }

    private fun ended(row: BackendRow, end: RunEnd, nowMs: Long) {
        if (end.number <= row.acknowledgedEnd) return
        row.unknownRuns.remove(end.task)
        val task = row.tasks[end.task]
        if (task == null || task.run != end.run) {
            endedElsewhere(row, end, nowMs)
            return
        }
        row.vacate(task)
        if (task.job.ended) return
        when (end.outcome) {
            RunOutcome.DONE -> done(row, task, nowMs)

            RunOutcome.FAILED -> failed(row, task, nowMs)

            RunOutcome.STOPPED, RunOutcome.LEASE_EXPIRED, RunOutcome.OTHER -> {
                log.event(
                    "dispatch", "run-lost", "job", task.key.job, "task", task.key, "run", task.run,
                    "backend", row.info.id, "outcome", end.outcome,
                )
                requeue(task)
            }
        }
    }

    /** A run that an earlier owner started has ended. */
    private fun endedElsewhere(row: BackendRow, end: RunEnd, nowMs: Long) {
        val task = tables.jobs[end.task.job]?.task(end.task)
        when {
            task?.state == TaskState.QUEUED && end.outcome == RunOutcome.DONE -> {
                task.job.queuedTasks--
                completed(task, nowMs)
            }

            task?.state == TaskState.QUEUED -> task.startableAtMs = NEVER_MS

            end.outcome == RunOutcome.DONE -> row.unknownDone[end.task] = nowMs
        }
    }

    private fun done(row: BackendRow, task: TaskRow, nowMs: Long) {
        if (!task.isAdopted) health.succeeded(row, task, (nowMs - task.orderedAtMs).toDouble())
        completed(task, nowMs)
    }

    private fun completed(task: TaskRow, nowMs: Long) {
        task.state = TaskState.DONE
        val job = task.job
        if (--job.openTasks == 0) return ends.end(job, JobResult.Complete, nowMs)
        if (job.request.steps.size > 1) placement.unblock(job)
    }

    private fun failed(row: BackendRow, task: TaskRow, nowMs: Long) {
        task.failures++
        task.failedOn += row
        log.event(
            "dispatch", "run-failed", "job", task.key.job, "task", task.key, "run", task.run,
            "backend", row.info.id, "failures", task.failures, "most", task.job.queue.maxAttempts,
        )
        // A task that has failed elsewhere, too, says little about this backend server.
        if (task.failures == 1) health.failed(row, "failed runs", nowMs)
        if (task.failures >= task.job.queue.maxAttempts) {
            return ends.end(task.job, JobResult.Failed("a task has failed ${task.failures} times"), nowMs)
        }
        if (task.failedOn.size >= tables.backends.size) task.failedOn.clear()
        requeue(task)
    }

    private fun compareRuns(row: BackendRow, view: PollResult.Report, nowMs: Long) {
        val running = view.running.associateBy { it.task }
        row.unknownRuns.keys.retainAll(running.keys)
        for (run in view.running) compareRun(row, run, nowMs)
        val missing = row.tasks.values.filter { it.run != running[it.key]?.run }
        missing.forEach { missing(row, it, view.clockMs) }
    }

    private fun compareRun(row: BackendRow, run: RunProgress, nowMs: Long) {
        val task = row.tasks[run.task]
        if (task == null || task.run != run.run) {
            val found = row.unknownRuns.getOrPut(run.task) { UnknownRun(run.run, nowMs) }
            tables.jobs[run.task.job]?.task(run.task)?.let { adopt(row, found, it, nowMs) }
            return
        }
        if (task.state == TaskState.STARTING || task.state == TaskState.UNCERTAIN) task.state = TaskState.RUNNING
        if (task.isStopAsked) {
            if (nowMs - task.stopAskedAtMs > STOP_REPEAT_MS) ends.stop(task, nowMs)
        } else if (run.donePercent != task.donePercent) {
            task.donePercent = run.donePercent
            task.progressAtMs = nowMs
        } else if (nowMs - task.progressAtMs > settings.hangMs) {
            log.event(
                "dispatch", "run-hung", "job", task.key.job, "task", task.key, "run", task.run,
                "backend", row.info.id, "percent", run.donePercent, "forMs", nowMs - task.progressAtMs,
            )
            health.failed(row, "hung run", nowMs, weight = BackendHealthSystem.EJECT_AFTER)
            ends.stop(task, nowMs)
        }
    }

    /** Takes over the runs of [job] that an earlier owner started, and their good ends. */
    fun adoptKnownRuns(job: JobRow, nowMs: Long) {
        for (task in job.allTasks()) {
            for (row in tables.backends.values) {
                row.unknownRuns[task.key]?.let { adopt(row, it, task, nowMs) }
                if (row.unknownDone.remove(task.key) != null && task.state == TaskState.BLOCKED) {
                    task.state = TaskState.DONE
                    job.openTasks--
                }
            }
        }
    }

    private fun adopt(row: BackendRow, found: UnknownRun, task: TaskRow, nowMs: Long) {
        // Its backend server was not listed for a while and is back before the lease has lapsed.
        val isOwnOrphan = task.isOrphan && task.state == TaskState.UNCERTAIN && task.run == found.run
        val isOpen = task.state == TaskState.QUEUED || task.state == TaskState.BLOCKED || isOwnOrphan
        if (!isOpen || found.stopSentAtMs != NEVER_MS) return
        task.isOrphan = false
        row.unknownRuns.remove(task.key)
        if (task.state == TaskState.QUEUED) task.job.queuedTasks--
        row.occupy(task)
        task.state = TaskState.RUNNING
        task.isAdopted = true
        task.run = found.run
        task.job.everOrdered = true
        task.orderedAtMs = nowMs
        task.progressAtMs = nowMs
        task.confirmedAtMs = row.clockAt(nowMs) ?: Long.MIN_VALUE
        log.event(
            "dispatch", "run-adopted", "job", task.key.job, "task", task.key, "run", task.run,
            "backend", row.info.id,
        )
    }

    /** The backend server neither runs the task nor lists its end. */
    private fun missing(row: BackendRow, task: TaskRow, clockMs: Long) {
        val isLost = when (task.state) {
            TaskState.RUNNING -> clockMs > task.confirmedAtMs

            // Later, the order is refused on arrival.
            TaskState.STARTING, TaskState.UNCERTAIN -> clockMs > task.validUntilMs

            TaskState.BLOCKED, TaskState.QUEUED, TaskState.DONE -> false
        }
        if (!isLost) return
        log.event(
            "dispatch", "run-missing", "job", task.key.job, "task", task.key, "run", task.run,
            "backend", row.info.id, "state", task.state,
        )
        requeue(task)
    }

    private fun unreachable(row: BackendRow, reason: String, nowMs: Long) {
        if (row.isUnreachable) return
        row.unreachableSinceMs = nowMs
        log.event(
            "backend", "unreachable", "backend", row.info.id, "reason", reason, "tasks", row.tasks.size,
            "seenMsAgo", nowMs - row.seenAtMs, "leaseEndsInMs", row.leaseEndMs - nowMs,
        )
    }

    /** A new process has the backend server's name: it holds nothing of before. */
    fun replaced(row: BackendRow, reason: String, nowMs: Long) {
        log.event("backend", "replaced", "backend", row.info.id, "reason", reason, "tasks", row.tasks.size)
        if (row.info.incarnation != 0L) row.formerIncarnations += row.info.incarnation
        row.tasks.values.toList().forEach(::requeue)
        row.unknownRuns.clear()
        row.unknownDone.clear()
        row.acknowledgedEnd = 0
        row.clockOffsetMs = null
        row.seenAtMs = NEVER_MS
        row.looking = false
        row.lookNumber++
        row.lookSentAtMs = nowMs
        row.free = row.info.capacity
        row.info = row.info.copy(incarnation = 0)
    }

    /** The backend server is not ordered any more; its runs end with their lease at the latest. */
    fun orphan(row: BackendRow, nowMs: Long) {
        val freeAtMs = maxOf(row.leaseEndMs, nowMs)
        for (task in row.tasks.values.toList()) {
            row.vacate(task)
            if (!task.job.ended) task.state = TaskState.UNCERTAIN
            task.isOrphan = true
            orphans += Orphan(task, task.run, freeAtMs)
        }
    }

    fun runTimers(nowMs: Long) {
        for (row in tables.backends.values) {
            stopUnknownRuns(row, nowMs)
            row.unknownDone.values.removeIf { nowMs - it > settings.unknownDoneMs }
            if (row.isUnreachable && row.tasks.isNotEmpty() && nowMs > row.leaseEndMs) {
                log.event("backend", "leases-lapsed", "backend", row.info.id, "tasks", row.tasks.size)
                row.tasks.values.toList().forEach(::requeue)
            }
        }
        val due = orphans.filter { it.freeAtMs <= nowMs }
        orphans.removeAll(due)
        for (orphan in due) {
            orphan.task.isOrphan = false
            if (orphan.task.run == orphan.run && orphan.task.state == TaskState.UNCERTAIN) requeue(orphan.task)
        }
    }

    private fun stopUnknownRuns(row: BackendRow, nowMs: Long) {
        val token = tables.token(row) ?: return
        for ((task, run) in row.unknownRuns) {
            val isReserved = tables.jobs[task.job] == null && nowMs - run.firstSeenMs < settings.unknownRunGraceMs
            if (isReserved || nowMs - run.stopSentAtMs < STOP_REPEAT_MS) continue
            run.stopSentAtMs = nowMs
            actions.stop(StopCommand(row.info, task, run.run, token))
            log.event(
                "dispatch", "unknown-run-stopped", "job", task.job, "task", task, "run", run.run,
                "backend", row.info.id,
            )
        }
    }

    private companion object {
        /** More than the attempts at a job that a previous owner may have made. */
        const val RUN_SKIP = 10

        /** Room that was not there shows in the next look. */
        const val NO_ROOM_HOLD_MS = 30L
        const val STOP_REPEAT_MS = 500L
    }
}
