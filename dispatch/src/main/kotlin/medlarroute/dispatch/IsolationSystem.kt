package medlarroute.dispatch

/**
 * Lets tasks that may crash their backend server run alone, so that no other run is lost with it.
 *
 * If no backend server is idle, one is reserved: it starts nothing else until the task has ended. The number of such
 * backend servers is limited, so that suspects do not take the capacity of the other tasks.
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
        val serving = tables.backends.values.filter { it.info.service == task.job.queue.service && it.isServing(nowMs) }
        val limit = (serving.size * settings.isolationShare).toInt().coerceAtLeast(1)
        if (serving.count { it.reservedFor != null } >= limit) return null
        // A crash of the backend server with the least capacity costs the other tasks the least.
        val row = serving.filter { health.isUsable(it, nowMs) && isSuitable(task, it) }
            .minWithOrNull(compareBy({ !it.isIdle }, { it.tasks.size }, { it.info.capacity.cpuMillis * it.speed }))
            ?: return null
        row.reservedFor = task
        log.event(
            "dispatch", "task-isolated", "job", task.key.job, "task", task.key, "backend", row.info.id,
            "waitsFor", row.tasks.size, "crashes", task.history?.activeCrashes?.size,
        )
        return row
    }

    private fun isSuitable(task: TaskRow, row: BackendRow): Boolean =
        task.step.demand.fitsInto(row.info.capacity) && row !in task.failedOn &&
            row.hasLabel(task.step.requiredLabel)
}
