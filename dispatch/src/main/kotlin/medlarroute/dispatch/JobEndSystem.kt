package medlarroute.dispatch

/** Ends jobs: reports their results and stops the runs that are still active. */
internal class JobEndSystem(
    private val tables: DispatchTables,
    private val actions: DispatchActions,
    private val log: EventLog,
) {
    fun end(job: JobRow, result: JobResult, nowMs: Long) {
        if (job.ended) return
        job.ended = true
        tables.jobs.remove(job.request.id)
        tables.waiting.remove(job)
        job.isWaiting = false
        for (task in job.allTasks()) {
            if (task.isDispatched) stop(task, nowMs)
        }
        tables.reservations.onJobEnded(job)
        val startedAtMs = if (job.everDispatched) job.firstDispatchedAtMs else nowMs
        log.event(
            "dispatch", "job-ended", "job", job.request.id, "queue", job.queue.id, "result", result,
            "tookMs", nowMs - job.arrivedAtMs, "waitedMs", startedAtMs - job.arrivedAtMs,
            "chainMs", job.criticalPathMs.toLong(), "budgetMs", job.latestStartMs - job.arrivedAtMs,
            "configuration", tables.configuration?.version, "origins", job.origins.map { it.instance },
            "resumed", job.isResumed, "renewedMsAgo", nowMs - job.renewedAtMs,
        )
        job.origins.forEach { actions.jobEnded(it, job.request.id, result) }
    }

    /** Stops the run of [task]. Its capacity stays reserved until the backend server reports the end of the run. */
    fun stop(task: TaskRow, nowMs: Long) {
        val row = task.backend ?: return
        val token = tables.token(row) ?: return
        task.stopRequestedAtMs = nowMs
        actions.stop(StopCommand(row.info, task.key, task.run, token))
    }

    fun runDeadlines(nowMs: Long) {
        val due = tables.jobs.values.filter { isExpired(it, nowMs) }
        for (job in due) {
            val result = if (job.everDispatched) {
                JobResult.Abandoned("not done at the caller's deadline")
            } else {
                JobResult.NotRun(NotRunCode.OVERLOAD, "no capacity was free in time", RETRY_AFTER_MS)
            }
            end(job, result, nowMs)
        }
    }

    private fun isExpired(job: JobRow, nowMs: Long): Boolean =
        nowMs >= job.deadlineMs || (!job.everDispatched && nowMs > job.lastUsefulStartMs)

    private companion object {
        const val RETRY_AFTER_MS = 1_000L
    }
}
