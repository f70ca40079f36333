package medlarroute.dispatch

import medlarroute.allocation.ShareLedger

/**
 * Selects backend servers for queued tasks and starts the tasks.
 *
 * Jobs that have begun are served first, then jobs by their latest start ([JobRow.latestStartMs]). With shares
 * ([DispatchSettings.sharing]), queues below their share are served first, and their jobs by their latest start.
 *
 * Jobs that can't end in time any more only get capacity that no other job can use. A task is placed on the slowest
 * backend server on which its job still ends in time, which keeps the fast ones free for jobs that need them. If there
 * is none, it is placed on the fastest.
 * Of backend servers that are about as fast, the one with the least free capacity is chosen, which keeps room for large
 * tasks.
 */
internal class DispatchPlacement(
    private val settings: DispatchSettings,
    private val tables: DispatchTables,
    private val actions: DispatchActions,
    private val takeover: TakeoverSystem,
    private val health: BackendHealthSystem,
    private val isolation: IsolationSystem,
    private val limits: LeaseLimits,
    private val openJobs: OpenJobSystem,
    private val log: EventLog,
    private val sharing: QueueSharing? = null,
) {
    /** Shares of the present pass, by service; empty if there are none. */
    private var ledgers: Map<ServiceId, ShareLedger> = emptyMap()
    private val usable = ArrayList<BackendRow>()
    private var blockedDemand: Resources? = null

    /** Queues the tasks of [job] whose earlier steps are done. */
    fun unblock(job: JobRow) {
        for (stepTasks in job.tasks) {
            for (task in stepTasks) {
                val ready = task.step.after.all { step -> job.tasks[step].all { it.state == TaskState.DONE } }
                if (task.state == TaskState.BLOCKED && ready) enqueue(task)
            }
        }
    }

    fun enqueue(task: TaskRow) {
        task.state = TaskState.QUEUED
        task.stopRequestedAtMs = NEVER_MS
        val job = task.job
        job.queuedTasks++
        if (!job.isWaiting) tables.waiting += job
        job.isWaiting = true
        tables.waitingIsDirty = true
    }

    fun run(nowMs: Long) {
        if (tables.waiting.isEmpty()) return
        // It is not empty if the last pass has failed.
        usable.clear()
        tables.backends.values.filterTo(usable) { health.isUsable(it, nowMs) }
        if (usable.isNotEmpty() || tables.reservations.size > 0) {
            if (tables.waitingIsDirty) {
                tables.waiting.sortWith(tables.servingOrder)
                tables.waitingIsDirty = false
            }
            ledgers = sharing?.ledgers(nowMs).orEmpty()
            for (late in listOf(false, true)) {
                pass(nowMs, late, borrowing = false)
                if (sharing != null) pass(nowMs, late, borrowing = true)
            }
            removeIdleJobs()
        }
    }

    private fun removeIdleJobs() {
        for (job in tables.waiting) job.isWaiting = job.queuedTasks > 0
        tables.waiting.removeIf { !it.isWaiting }
    }

    /**
     * Places tasks of the jobs that can still start in time, or of those that are [late]; with shares, of the queues
     * below their share, or of those that use more ([borrowing]). A job is placed as a whole, so that it may take its
     * queue above the share.
     */
    private fun pass(nowMs: Long, late: Boolean, borrowing: Boolean) {
        // If no backend server has capacity for a task, larger tasks need not be tried in this pass.
        blockedDemand = null
        for (job in tables.waiting) {
            val isLate = !job.everDispatched && nowMs > job.latestStartMs
            if (isLate != late || job.queuedTasks == 0 || isBorrowing(job) != borrowing) continue
            val mayStart = takeover.areRunsKnown(job, nowMs) && openJobs.mayStart(job, nowMs)
            if (mayStart && isRenewed(job, nowMs)) placeTasks(job, nowMs)
        }
    }

    private fun isBorrowing(job: JobRow): Boolean =
        ledgers[job.queue.service]?.isBorrowing(job) == true

    /** Whether the submitter of [job] has certainly waited for it so recently that its tasks may start. */
    private fun isRenewed(job: JobRow, nowMs: Long): Boolean {
        val isRenewed = limits.limitMs(job) >= nowMs + settings.startValidityMs
        if (!isRenewed && !job.isUnrenewed) {
            log.event(
                "dispatch", "job-unrenewed", "job", job.request.id, "origin", job.origins.firstOrNull()?.instance,
                "renewedMsAgo", nowMs - job.renewedAtMs, "ordered", job.everDispatched,
            )
        }
        job.isUnrenewed = !isRenewed
        return isRenewed
    }

    private fun placeTasks(job: JobRow, nowMs: Long) {
        for (task in job.allTasks()) {
            if (task.state != TaskState.QUEUED || isHeld(task) || isDelayed(task, nowMs)) continue
            val row = when {
                task.isSuspect || task.possibleCrashes >= settings.crashesOfCause -> isolation.chooseBackend(
                    task,
                    nowMs,
                )

                task.wasOnSilent -> isolation.chooseIdle(task, nowMs) ?: chooseUnlessBlocked(task, nowMs)

                else -> chooseUnlessBlocked(task, nowMs)
            }
            if (row != null && limits.mayStart(job, row, nowMs)) start(task, row, nowMs)
        }
    }

    /**
     * Whether another run of [task] may be active. This is the only check that keeps a task from running twice, and
     * each start passes it.
     */
    private fun isDelayed(task: TaskRow, nowMs: Long): Boolean {
        val active = tables.runs.findActive(task.key, nowMs)
        if (active != null && !task.isDelayed) {
            log.event(
                "dispatch", "start-delayed", "job", task.key.job, "task", task.key, "run", active.run,
                "backend", active.lease?.backend, "confirmed", active.isConfirmed, "endsInMs", active.endMs - nowMs,
            )
        }
        task.isDelayed = active != null
        return task.isDelayed
    }

    /** Whether [task] waits until it is known which of the backend servers that it was on have crashed. */
    private fun isHeld(task: TaskRow): Boolean {
        val isHeld = task.possibleCrashes >= settings.maxCrashes
        if (isHeld && !task.isHeld) {
            log.event(
                "dispatch", "task-held", "job", task.key.job, "task", task.key,
                "possibleCrashes", task.possibleCrashes, "crashes", task.history?.provenCrashes?.size,
            )
        }
        task.isHeld = isHeld
        return isHeld
    }

    private fun chooseUnlessBlocked(task: TaskRow, nowMs: Long): BackendRow? {
        if (blockedDemand?.fitsInto(task.step.demand) == true) return null
        val row = chooseBackend(task, nowMs)
        if (row == null && isUnconstrained(task)) blockedDemand = task.step.demand
        return row
    }

    private fun isUnconstrained(task: TaskRow): Boolean =
        task.failedOn.isEmpty() && task.step.requiredLabel == null && task.step.maxPerBackend == null

    private fun chooseBackend(task: TaskRow, nowMs: Long): BackendRow? {
        val estimateMs = task.job.estimatesMs[task.key.step]
        val allowedMs = task.job.latestStartMs + task.job.criticalPathMs - nowMs
        var slowest: BackendRow? = null
        var slowestMs = 0.0
        var fastest: BackendRow? = null
        var fastestMs = Double.MAX_VALUE
        for (row in usable) {
            if (!canRun(task, row, nowMs) || !limits.mayStart(task.job, row, nowMs)) continue
            val runMs = estimateMs / row.speed * settings.rackFactor(task.step, row.info)
            // Skip backend servers that would make the job late as long as it can end in time on one of speed 1.
            if (runMs > allowedMs && estimateMs <= allowedMs) continue
            val isInTime = runMs * ESTIMATE_MARGIN <= allowedMs
            if (isInTime && isPreferred(row, runMs, slowest, slowestMs)) {
                slowest = row
                slowestMs = runMs
            }
            if (runMs < fastestMs) {
                fastest = row
                fastestMs = runMs
            }
        }
        return slowest ?: fastest
    }

    /** Whether [row] is clearly slower than [other], or about as fast and a tighter fit. */
    private fun isPreferred(row: BackendRow, runMs: Double, other: BackendRow?, otherMs: Double): Boolean = when {
        other == null || runMs > otherMs * EQUAL_RUN_FACTOR -> true
        runMs * EQUAL_RUN_FACTOR < otherMs -> false
        row.free.cpuMillis != other.free.cpuMillis -> row.free.cpuMillis < other.free.cpuMillis
        else -> runMs > otherMs
    }

    private fun canRun(task: TaskRow, row: BackendRow, nowMs: Long): Boolean {
        val step = task.step
        // A task that was placed earlier in this pass may have started the probe or have the backend server reserved.
        val isServing = row.info.service == task.job.queue.service && !row.isBeingProbed
        if (!isServing || tables.reservations.isReserved(row)) return false
        if (!row.hasLabel(step.requiredLabel) || !step.demand.fitsInto(row.free)) return false
        if (row.isLimited(step.demand, nowMs)) return false
        // A run of an earlier attempt at the job uses its capacity until its end is listed.
        return task.key !in row.tasks && row !in task.failedOn && isBelowLimit(task, row)
    }

    private fun isBelowLimit(task: TaskRow, row: BackendRow): Boolean {
        val limit = task.step.maxPerBackend ?: return true
        return row.tasks.values.count { it.job === task.job && it.key.step == task.key.step } < limit
    }

    private fun start(task: TaskRow, row: BackendRow, nowMs: Long) {
        val token = tables.token(row) ?: return
        val clockMs = row.backendClockMs(nowMs) ?: return
        val job = task.job
        task.run = maxOf(task.run, job.highestPriorRun) + 1
        job.highestStartedRun = maxOf(job.highestStartedRun, task.run)
        task.state = TaskState.STARTING
        task.dispatchedAtMs = nowMs
        task.validUntilMs = clockMs + settings.startValidityMs
        task.isAdopted = false
        task.confirmedAtMs = Long.MIN_VALUE
        task.donePercent = -1
        task.missingSinceMs = NEVER_MS
        job.queuedTasks--
        if (++task.starts > 1) {
            log.event(
                "dispatch", "run-restarted", "job", task.key.job, "task", task.key, "run", task.run,
                "backend", row.info.id, "incarnation", row.info.incarnation, "token", token, "starts", task.starts,
                "beside", row.tasks.size,
            )
        }
        row.reserve(task)
        ledgers[job.queue.service]?.onStarted(job.queue.id.value, task.step.demand.cpuMillis.toLong())
        tables.reservations.onStarted(task, row)
        tables.runs.recordOrdered(task.key, task.run, row, task.validUntilMs)
        row.lease.grant(settings.startValidityMs, settings, nowMs)
        if (!job.everDispatched) {
            job.everDispatched = true
            job.firstDispatchedAtMs = nowMs
            tables.waitingIsDirty = true
        }
        if (job.queuedTasks == 0 && job.predictedWaitMs > 0) {
            tables.waitEstimator.record(job.predictedWaitMs, nowMs - job.arrivedAtMs)
            job.predictedWaitMs = 0.0
        }
        actions.start(StartCommand(row.info, task.key, task.run, job.request.payload, token, task.validUntilMs))
    }

    private companion object {
        /** Run times vary around the estimate with a spread of about 0.4; one in ten exceeds it by this factor. */
        const val ESTIMATE_MARGIN = 1.5

        /**
         * Run times within this factor count as equal, since speeds are learned and run times vary.
         * SharesLoadTest has the load that it answers.
         */
        const val EQUAL_RUN_FACTOR = 2.0
    }
}
