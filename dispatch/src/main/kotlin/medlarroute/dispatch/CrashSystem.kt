package medlarroute.dispatch

/**
 * Finds out which tasks crash the backend servers that start them, and decides when a task is given up.
 *
 * A crash counts for each task whose run may have been active. It shows by a refused connection or by another process
 * under the same id or address; silence alone is no evidence, since a partition or a pause looks the same. A backend
 * server that was about to leave does not count. A crash is refuted if the process is reached again.
 *
 * A task with a crash runs alone from then on (see [IsolationSystem]), so a second crash tells it from those that only
 * ran beside it.
 */
internal class CrashSystem(
    private val settings: DispatchSettings,
    private val tables: DispatchTables,
    private val actions: DispatchActions,
    private val log: EventLog,
) {
    /** The process of [row] seems to have ended. */
    fun recordCrash(row: BackendRow, evidence: CrashEvidence, nowMs: Long) {
        val tasks = row.tasks.values + row.lapsedTasks
        if (tasks.isEmpty()) return
        if (row.info.draining) {
            log.event("backend", "crash-ignored", "backend", row.info.id, "reason", "draining", "tasks", tasks.size)
            return
        }
        val wasAlone = tasks.size == 1 && row.unknownRuns.isEmpty()
        val crash = BackendCrash(row.info.id, row.info.incarnation, wasAlone)
        val changed = tasks.mapNotNull { merge(TaskHistory(it.key, crashes = listOf(crash)), nowMs) }
        for (history in changed) {
            log.event(
                "dispatch", "task-suspected", "job", history.task.job, "task", history.task,
                "backend", row.info.id, "incarnation", row.info.incarnation, "evidence", evidence,
                "beside", tasks.size - 1, "crashes", history.activeCrashes.size,
            )
        }
        publish(changed)
    }

    /**
     * Called when the tasks of [row] are about to start elsewhere. If much of its rack was lost at the same time, the
     * tasks are not the likely cause.
     */
    fun reviewLoss(row: BackendRow, nowMs: Long) {
        if (!isLostWithOthers(row)) return
        val crash = BackendCrash(row.info.id, row.info.incarnation, wasAlone = false)
        val suspects = row.tasks.keys.filter { tables.histories.find(it) != null }
        publish(suspects.mapNotNull { merge(TaskHistory(it, crashes = listOf(crash)), nowMs) })
    }

    private fun isLostWithOthers(row: BackendRow): Boolean {
        val rack = row.info.rack ?: return false
        val neighbours =
            tables.backends.values.filter { it.info.rack == rack && it.info.failureDomain == row.info.failureDomain }
        val lost = neighbours.count {
            it.isUnreachable &&
                it.unreachableSinceMs in row.unreachableSinceMs.let { at -> at - JOINT_MS..at + JOINT_MS }
        }
        return lost >= 2 && lost * 2 >= neighbours.size
    }

    /** The process of [row] has answered, so it has not crashed. */
    fun refuteCrashes(row: BackendRow, nowMs: Long) {
        val refuted = tables.histories.all.mapNotNull { history ->
            val crash = history.activeCrashes
                .find { it.backend == row.info.id && it.incarnation == row.info.incarnation } ?: return@mapNotNull null
            merge(TaskHistory(history.task, crashes = listOf(crash.copy(isRefuted = true))), nowMs)
        }
        for (history in refuted) {
            log.event(
                "dispatch", "crash-refuted", "job", history.task.job, "task", history.task,
                "backend", row.info.id, "incarnation", row.info.incarnation, "crashes", history.activeCrashes.size,
            )
        }
        publish(refuted)
    }

    /** A run of [task] has failed. */
    fun recordFailure(task: TaskRow, nowMs: Long) {
        merge(TaskHistory(task.key, failures = task.failures + 1), nowMs)
    }

    /** Adds what another instance knows. */
    fun mergeAll(histories: List<TaskHistory>, nowMs: Long) = histories.forEach { merge(it, nowMs) }

    /** Gives the tasks of a new [job] their histories. */
    fun assignHistories(job: JobRow) {
        if (tables.histories.size == 0) return
        job.allTasks().forEach { it.history = tables.histories.find(it.key) }
    }

    /** The result of a job of which no task may be started any more because of [task]; null if it may. */
    fun resultOrNull(task: TaskRow): JobResult.Failed? {
        val history = task.history ?: return null
        val crashes = history.activeCrashes
        val isLikelyCause = crashes.size >= settings.crashesOfCause && crashes.any { it.wasAlone }
        return when {
            history.failures >= task.job.queue.maxAttempts -> JobResult.Failed(
                "a task has failed ${task.failures} times",
            )

            isLikelyCause || crashes.size >= settings.maxCrashes ->
                JobResult.Failed("a task has crashed ${crashes.size} backend servers")

            else -> null
        }
    }

    private fun merge(history: TaskHistory, nowMs: Long): TaskHistory? {
        val merged = tables.histories.merge(history, nowMs) ?: return null
        tables.jobs[merged.task.job]?.task(merged.task)?.history = merged
        return merged
    }

    private fun publish(histories: List<TaskHistory>) {
        if (histories.isNotEmpty()) actions.historiesChanged(histories)
    }

    private companion object {
        /** Backend servers of a rack that lose power together are noticed within this time of each other. */
        const val JOINT_MS = 400L
    }
}

/** How it was noticed that a process of a backend server has ended. */
internal enum class CrashEvidence { REFUSED, REPLACED }
