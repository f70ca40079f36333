package medlarroute.dispatch

/**
 * Lets tasks that may crash their backend server run alone, so that no other run is lost with it.
 *
 * If no backend server is idle, one is reserved: it starts nothing else until the task has ended. The number of
 * reserved ones is limited, so that suspects do not take the capacity of the other tasks.
 */
internal class IsolationSystem(
    private val settings: DispatchSettings,
    private val tables: DispatchTables,
    private val health: BackendHealthSystem,
    private val log: EventLog,
) {
    /** The backend server on which [task] can start now; null if it has to wait for one to become idle. */
    fun chooseBackend(task: TaskRow, nowMs: Long): BackendRow? {
        val row = reservedOrNull(task, nowMs) ?: reserve(task, nowMs) ?: return null
        return row.takeIf { it.isIdle }
    }

    private fun reservedOrNull(task: TaskRow, nowMs: Long): BackendRow? {
        val row = tables.backends.values.firstOrNull { it.reservedFor === task } ?: return null
        if (health.canStart(row, nowMs) && isSuitable(task, row)) return row
        row.reservedFor = null
        return null
    }

    private fun reserve(task: TaskRow, nowMs: Long): BackendRow? {
        idleOrNull(task, nowMs)?.let { return it.also { row -> assign(row, task) } }
        val serving = tables.backends.values.filter { it.info.service == task.job.queue.service && it.isServing(nowMs) }
        val limit = (serving.size * settings.isolationShare).toInt().coerceAtLeast(1)
        if (serving.count { it.reservedFor != null } >= limit) return null
        return candidates(task, nowMs).minByOrNull { it.tasks.size }?.also { assign(it, task) }
    }

    /**
     * An idle backend server for [task], which then runs alone; null if there is none. The one with the least capacity,
     * as a crash there costs the other tasks the least.
     */
    private fun idleOrNull(task: TaskRow, nowMs: Long): BackendRow? =
        candidates(task, nowMs).filter { it.isIdle }.minByOrNull { it.info.capacity.cpuMillis * it.speed }

    /** As [chooseBackend], for a task that was on a silent backend server: it does not wait to run alone. */
    fun chooseIdle(task: TaskRow, nowMs: Long): BackendRow? = idleOrNull(task, nowMs)?.also { assign(it, task) }

    private fun candidates(task: TaskRow, nowMs: Long): List<BackendRow> = tables.backends.values.filter {
        it.info.service == task.job.queue.service && health.isUsable(it, nowMs) && isSuitable(task, it)
    }

    private fun assign(row: BackendRow, task: TaskRow) {
        row.reservedFor = task
        log.event(
            "dispatch", "task-isolated", "job", task.key.job, "task", task.key, "backend", row.info.id,
            "waitsFor", row.tasks.size, "possibleCrashes", task.possibleCrashes,
        )
    }

    private fun isSuitable(task: TaskRow, row: BackendRow): Boolean =
        task.step.demand.fitsInto(row.info.capacity) && row !in task.failedOn && task.key !in row.tasks &&
            row.hasLabel(task.step.requiredLabel)
}
