package medlarroute.dispatch

/** Ends jobs: tells the result, stops what still runs. */
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
        for (task in job.allTasks()) {
            if (task.isOrdered) stop(task, nowMs)
        }
        if (job.hasRuns) tables.ending[job.request.id] = job
        val startedAtMs = if (job.everOrdered) job.firstOrderedAtMs else nowMs
        log.event(
            "dispatch", "job-ended", "job", job.request.id, "queue", job.queue.id, "result", result,
            "tookMs", nowMs - job.arrivedAtMs, "waitedMs", startedAtMs - job.arrivedAtMs,
            "chainMs", job.chainMs.toLong(), "budgetMs", job.latestStartMs - job.arrivedAtMs,
            "configuration", tables.configuration?.version,
        )
        job.origins.forEach { actions.ended(it, job.request.id, result) }
    }

    /** The run keeps its room until its end is listed. */
    fun stop(task: TaskRow, nowMs: Long) {
        val row = task.backend ?: return
        val token = tables.token(row) ?: return
        task.stopAskedAtMs = nowMs
        actions.stop(StopCommand(row.info, task.key, task.run, token))
    }

    fun runDeadlines(nowMs: Long) {
        tables.ending.values.removeIf { !it.hasRuns }
        val due = tables.jobs.values.filter { isHopeless(it, nowMs) }
        for (job in due) {
            val result = if (job.everOrdered) {
                JobResult.Abandoned("not done at the caller's deadline")
            } else {
                JobResult.NotRun(NotRunCode.OVERLOAD, "no room was free in time", RETRY_AFTER_MS)
            }
            end(job, result, nowMs)
        }
    }

    private fun isHopeless(job: JobRow, nowMs: Long): Boolean =
        nowMs >= job.deadlineMs || (!job.everOrdered && nowMs > job.lastUsefulStartMs)

    private companion object {
        const val RETRY_AFTER_MS = 1_000L
    }
}
