package medlarroute.dispatch

/**
 * Orders queued tasks and starts them.
 *
 * Jobs that have begun go first, then the job with the earliest latest start; jobs that can't end in time any more get
 * only room that no other job can use. A task goes to the slowest backend server on which its job still ends in time,
 * which keeps the fast ones for jobs that need them, or to the fastest if there is none.
 */
internal class DispatchPlacement(
    private val settings: DispatchSettings,
    private val tables: DispatchTables,
    private val actions: DispatchActions,
    private val settling: SettlingSystem,
    private val health: BackendHealthSystem,
) {
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
        task.stopAskedAtMs = NEVER_MS
        val job = task.job
        if (job.queuedTasks++ == 0) tables.waiting += job
        tables.waitingIsDirty = true
    }

    fun run(nowMs: Long) {
        if (tables.waiting.isEmpty()) return
        tables.backends.values.filterTo(usable) { health.isUsable(it, nowMs) }
        if (usable.isNotEmpty()) {
            if (tables.waitingIsDirty) {
                tables.waiting.sortWith(ORDER)
                tables.waitingIsDirty = false
            }
            pass(nowMs, late = false)
            pass(nowMs, late = true)
            tables.waiting.removeIf { it.queuedTasks == 0 }
        }
        usable.clear()
    }

    private fun pass(nowMs: Long, late: Boolean) {
        // A task that no backend server has room for blocks larger ones of this pass, too.
        blockedDemand = null
        for (job in tables.waiting) {
            val isLate = !job.everOrdered && nowMs > job.latestStartMs
            if (isLate == late && job.queuedTasks > 0 && settling.mayStart(job, nowMs)) placeTasks(job, nowMs)
        }
    }

    private fun placeTasks(job: JobRow, nowMs: Long) {
        for (task in job.allTasks()) {
            if (task.state != TaskState.QUEUED || nowMs < task.startableAtMs) continue
            if (blockedDemand?.fitsInto(task.step.demand) == true) continue
            val row = choose(task, nowMs)
            if (row != null) {
                start(task, row, nowMs)
            } else if (isUnconstrained(task)) {
                blockedDemand = task.step.demand
            }
        }
    }

    private fun isUnconstrained(task: TaskRow): Boolean =
        task.failedOn.isEmpty() && task.step.requiredLabel == null && task.step.maxPerBackend == null

    private fun choose(task: TaskRow, nowMs: Long): BackendRow? {
        val estimateMs = task.job.estimatesMs[task.key.step]
        val allowedMs = task.job.latestStartMs + task.job.chainMs - nowMs
        var slowest: BackendRow? = null
        var slowestMs = 0.0
        var fastest: BackendRow? = null
        var fastestMs = Double.MAX_VALUE
        for (row in usable) {
            if (!mayRun(task, row)) continue
            val runMs = estimateMs / row.speed * rackFactor(task.step, row.info)
            // While the job can still end in time elsewhere, a backend server that makes it late is left to others.
            if (runMs > allowedMs && estimateMs <= allowedMs) continue
            val fits = runMs * ESTIMATE_MARGIN <= allowedMs
            val tighter = runMs == slowestMs && slowest != null && row.free.cpuMillis < slowest.free.cpuMillis
            if (fits && (runMs > slowestMs || tighter)) {
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

    private fun mayRun(task: TaskRow, row: BackendRow): Boolean {
        val step = task.step
        // Tasks that were placed earlier in this pass may have taken it.
        val isServing = row.info.service == task.job.queue.service && !row.isBeingProbed
        val hasLabel = step.requiredLabel == null || step.requiredLabel in row.info.labels
        if (!isServing || !hasLabel || !step.demand.fitsInto(row.free)) return false
        return row !in task.failedOn && isBelowLimit(task, row)
    }

    private fun isBelowLimit(task: TaskRow, row: BackendRow): Boolean {
        val most = task.step.maxPerBackend ?: return true
        return row.tasks.values.count { it.job === task.job && it.key.step == task.key.step } < most
    }

    private fun rackFactor(step: StepRequest, info: BackendInfo): Double =
        if (step.preferredRack == null || step.preferredRack in info.labels) 1.0 else FAR_RACK_FACTOR

    private fun start(task: TaskRow, row: BackendRow, nowMs: Long) {
        val token = tables.token(row) ?: return
        val clockMs = row.clockAt(nowMs) ?: return
        val job = task.job
        task.run = maxOf(task.run, job.highestRun) + 1
        job.newestRun = maxOf(job.newestRun, task.run)
        task.state = TaskState.STARTING
        task.orderedAtMs = nowMs
        task.validUntilMs = clockMs + settings.orderValidityMs
        task.isAdopted = false
        task.confirmedAtMs = Long.MIN_VALUE
        task.donePercent = -1
        task.progressAtMs = nowMs
        job.queuedTasks--
        row.occupy(task)
        row.leaseEndMs = maxOf(row.leaseEndMs, leaseEnd(settings, nowMs))
        if (!job.everOrdered) {
            job.everOrdered = true
            job.firstOrderedAtMs = nowMs
            tables.waitingIsDirty = true
        }
        if (job.queuedTasks == 0 && job.predictedWaitMs > 0) {
            tables.waitEstimate.record(job.predictedWaitMs, nowMs - job.arrivedAtMs)
            job.predictedWaitMs = 0.0
        }
        actions.start(StartCommand(row.info, task.key, task.run, job.request.payload, token, task.validUntilMs))
    }

    private companion object {
        /** Run times vary by about 0.4 around the estimate, so that one in ten exceeds it by this factor. */
        const val ESTIMATE_MARGIN = 1.5

        /** Tasks away from their data take this many times as long; the platform's usual figure. */
        const val FAR_RACK_FACTOR = 2.0
        val ORDER = compareByDescending<JobRow> { it.everOrdered }
            .thenBy { it.latestStartMs }
            .thenBy { it.queue.priority }
    }
}
