package medlarroute.dispatch

import medlarroute.allocation.QueueShare
import medlarroute.allocation.ShareLedger
import medlarroute.dispatch.evacuation.EvacuationSystem

/** Whether a job is admitted. */
internal sealed interface AdmissionDecision {
    class Admitted(val job: JobRow) : AdmissionDecision

    class Refused(val result: JobResult.NotRun) : AdmissionDecision
}

/** Admits or refuses a job as a whole, depending on the predicted time at which its tasks can start. */
internal class DispatchAdmission(
    private val settings: DispatchSettings,
    private val tables: DispatchTables,
    private val health: BackendHealthSystem,
    private val log: EventLog,
    private val sharing: QueueSharing? = null,
) {
    fun decide(
        request: JobRequest,
        arrivedAtMs: Long,
        deadlineMs: Long,
        progress: JobProgress?,
        nowMs: Long,
    ): AdmissionDecision {
        val configuration = tables.configuration
            ?: return refused(request, NotRunCode.NO_CONFIGURATION, "no configuration yet", SHORT_RETRY_MS)
        val queue = configuration.queueOrNull(request.queue)
            ?: return refused(request, NotRunCode.UNKNOWN_QUEUE, "the configuration has no such queue", null)
        val job = JobRow(request, queue, arrivedAtMs, deadlineMs)
        estimate(job)
        if (progress != null) return AdmissionDecision.Admitted(job)
        infeasible(job)?.let { return it }
        if (tables.jobs.size >= settings.maxOpenJobs) {
            return refused(request, NotRunCode.OVERLOAD, "${settings.maxOpenJobs} jobs are open", SHORT_RETRY_MS)
        }
        return overload(job, nowMs) ?: AdmissionDecision.Admitted(job)
    }

    private fun estimate(job: JobRow) {
        val runTime = tables.runTimes.getOrPut(job.queue.id) { RunTimeEstimator() }
        val steps = job.request.steps
        val pathsMs = DoubleArray(steps.size)
        for ((number, step) in steps.withIndex()) {
            job.estimatesMs[number] = runTime.predictMs(step.estimateMs)
            pathsMs[number] = job.estimatesMs[number] + (step.after.maxOfOrNull { pathsMs[it] } ?: 0.0)
        }
        job.criticalPathMs = pathsMs.maxOrNull() ?: 0.0
        val objectiveMs = job.queue.stretch * job.criticalPathMs + job.queue.objectiveMs
        val reservedMs = job.criticalPathMs + settings.overheadMs
        job.latestStartMs = job.arrivedAtMs + (objectiveMs - reservedMs).toLong().coerceAtLeast(0)
        val usefulMs = minOf(objectiveMs * LATE_FACTOR, (job.deadlineMs - job.arrivedAtMs).toDouble())
        job.lastUsefulStartMs = maxOf(job.latestStartMs, job.arrivedAtMs + (usefulMs - reservedMs).toLong())
    }

    /** Refuses a job of which a task fits on no backend server, only for now if it has fitted on one before. */
    private fun infeasible(job: JobRow): AdmissionDecision? {
        infeasibleReasonOrNull(job) { it.largestCapacity }
            ?.let { return refused(job.request, NotRunCode.CAN_NEVER_RUN, it, null) }
        return infeasibleReasonOrNull(job) { it.info.capacity }
            ?.let { refused(job.request, NotRunCode.OVERLOAD, "$it at its present capacity", SHORT_RETRY_MS) }
    }

    private fun infeasibleReasonOrNull(job: JobRow, capacity: (BackendRow) -> Resources): String? {
        val backends = tables.backends.values.filter { it.info.service == job.queue.service }
        if (backends.isEmpty()) return null
        for ((number, step) in job.request.steps.withIndex()) {
            val fits = backends.any {
                step.demand.fitsInto(capacity(it)) &&
                    (step.requiredLabel == null || step.requiredLabel in it.info.labels)
            }
            if (!fits) return "no backend server can hold a task of step $number"
        }
        return null
    }

    /** Refuses a job that would start too late, given the work that is served before it. */
    private fun overload(job: JobRow, nowMs: Long): AdmissionDecision? {
        if (tables.areAllEvacuated) {
            tables.startsAvoided += job.openTasks
            return refused(job.request, NotRunCode.OVERLOAD, EvacuationSystem.REASON, SHORT_RETRY_MS)
        }
        val rate = workRate(job.queue.service, nowMs)
        val unplacedShare = if (rate > 0) unplacedShare(job, nowMs) else 1.0
        if (unplacedShare == 0.0) return null
        val ledger = sharing?.ledger(job.queue.service, nowMs, applicant = job.queue.id)
        val workAhead =
            job.queuedWork() * unplacedShare +
                tables.waiting.filter { isServedBefore(it, job, ledger) }.sumOf { it.queuedWork() }
        if (rate > 0) job.predictedWaitMs = workAhead / rate
        val waitMs = if (rate > 0) tables.waitEstimator.correctedMs(workAhead / rate) else Double.MAX_VALUE
        val budgetMs = job.latestStartMs - nowMs
        if (waitMs <= budgetMs * WAIT_SHARE) return null
        val excessMs = if (rate > 0) (waitMs - budgetMs).toLong() else 0
        val retryAfterMs = excessMs.coerceIn(SHORT_RETRY_MS, MAX_RETRY_MS)
        val reason = "predicted wait ${waitMs.toLong()} ms exceeds $WAIT_SHARE of $budgetMs ms"
        return refused(
            job.request,
            NotRunCode.OVERLOAD,
            reason,
            if (sharing == null) retryAfterMs else spread(job.request.id, retryAfterMs),
            ledger?.shareOrNull(job.queue.id.value),
            1 - unplacedShare,
        )
    }

    /** Adds up to half of [retryAfterMs], different from job to job, so that callers do not return together. */
    private fun spread(job: JobId, retryAfterMs: Long): Long =
        retryAfterMs + Math.floorMod(job.value.hashCode().toLong(), retryAfterMs / 2)

    /**
     * Fraction of the tasks of [job] that can't be placed in the free capacity. Waiting jobs are not counted against
     * that capacity, since they would have been placed if they could use it.
     */
    private fun unplacedShare(job: JobRow, nowMs: Long): Double {
        val step = job.request.steps.singleOrNull() ?: return 1.0
        var placeable = 0
        for (row in tables.backends.values) {
            if (row.info.service != job.queue.service || !health.isUsable(row, nowMs)) continue
            placeable += row.fitCount(step.demand, nowMs).coerceAtMost(step.taskCount)
            if (placeable >= step.taskCount) return 0.0
        }
        return 1 - placeable.toDouble() / step.taskCount
    }

    /** Work that the backend servers of [service] complete per millisecond, in thousandths of core-milliseconds. */
    private fun workRate(service: ServiceId, nowMs: Long): Double =
        tables.backends.values
            .filter { it.info.service == service && it.isServing(nowMs) }
            .sumOf { it.limitMillis(nowMs) * it.speed * PACKING_EFFICIENCY }

    private fun isServedBefore(other: JobRow, job: JobRow, ledger: ShareLedger?): Boolean {
        if (other.queue.service != job.queue.service) return false
        val order = if (ledger == null) 0 else ledger.isBorrowing(other).compareTo(ledger.isBorrowing(job))
        return order < 0 || (order == 0 && tables.servingOrder.compare(other, job) <= 0)
    }

    private fun refused(
        request: JobRequest,
        code: NotRunCode,
        reason: String,
        retryAfterMs: Long?,
        share: QueueShare? = null,
        placeableShare: Double? = null,
    ): AdmissionDecision {
        log.event(
            "dispatch", "job-refused", "job", request.id, "queue", request.queue, "code", code, "reason", reason,
            "open", tables.jobs.size, "waiting", tables.waiting.size, "configuration", tables.configuration?.version,
            "retryAfterMs", retryAfterMs, "share", share?.share, "used", share?.use?.used, "queued", share?.use?.queued,
            "placeableShare", placeableShare,
        )
        return AdmissionDecision.Refused(JobResult.NotRun(code, reason, retryAfterMs))
    }

    private companion object {
        /** A result is of some use to the caller up to this multiple of its objective. */
        const val LATE_FACTOR = 3.0

        /** Fraction of a backend server's cores that tasks of the usual sizes can use. */
        const val PACKING_EFFICIENCY = 0.85

        /**
         * Maximum predicted wait as a fraction of the time that a job can wait. The rest is a reserve for stragglers
         * and wrong estimates: admitted jobs that end late use capacity that others would need to end in time.
         */
        const val WAIT_SHARE = 0.4

        /** A load peak lasts for seconds, so an earlier retry would meet the same queue. */
        const val SHORT_RETRY_MS = 1_000L
        const val MAX_RETRY_MS = 10_000L
    }
}
