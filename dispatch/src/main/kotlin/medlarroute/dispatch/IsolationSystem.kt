package medlarroute.dispatch

import medlarroute.dispatch.reservations.BackendReservations

/**
 * Lets tasks that may crash their backend server run alone, so that no other run is lost with it.
 *
 * If no backend server is idle, one is reserved: it starts nothing else until the task has ended. The number of
 * reserved ones is limited, so that suspects do not take the capacity of the other tasks. [BackendReservations] has the
 * reservations.
 */
internal class IsolationSystem(
    private val settings: DispatchSettings,
    private val tables: DispatchTables,
    private val health: BackendHealthSystem,
    private val limits: LeaseLimits,
) {
    private val reservations: BackendReservations get() = tables.reservations

    /** The backend server on which [task] can start now; null if it has to wait for one to become idle. */
    fun chooseBackend(task: TaskRow, nowMs: Long): BackendRow? {
        val row = reservedOrNull(task, nowMs) ?: reserve(task, nowMs) ?: return null
        return row.takeIf { it.isIdle }
    }

    private fun reservedOrNull(task: TaskRow, nowMs: Long): BackendRow? {
        val row = reservations.claim(task, nowMs) ?: return null
        if (health.canStart(row, nowMs) && isSuitable(task, row)) return row
        reservations.onUnsuitable(row)
        return null
    }

    private fun reserve(task: TaskRow, nowMs: Long): BackendRow? {
        leastCapacity(idle(task, nowMs))?.let { return it.also { row -> reservations.reserve(row, task, nowMs) } }
        val serving = tables.backends.values.filter { it.info.service == task.job.queue.service && it.isServing(nowMs) }
        val limit = (serving.size * settings.isolationShare).toInt().coerceAtLeast(1)
        if (serving.count(reservations::isReserved) >= limit) return null
        return candidates(task, nowMs).minByOrNull { it.tasks.size }?.also { reservations.reserve(it, task, nowMs) }
    }

    private fun idle(task: TaskRow, nowMs: Long): List<BackendRow> = candidates(task, nowMs).filter { it.isIdle }

    /** A crash on the one with the least capacity costs the other tasks the least. */
    private fun leastCapacity(rows: List<BackendRow>): BackendRow? =
        rows.minByOrNull { it.info.capacity.cpuMillis * it.speed }

    /**
     * As [chooseBackend], for a task that was on a silent backend server: it does not wait for one to become idle.
     *
     * If no lease of the idle ones allows a start now, one stays reserved until the next renewal of the job. The task
     * takes another one only in exchange for that, if a start is allowed there.
     */
    fun chooseIdle(task: TaskRow, nowMs: Long): BackendRow? {
        val held = reservedOrNull(task, nowMs)?.takeIf { it.isIdle }
        if (held != null && limits.mayStart(task.job, held, nowMs)) return held
        val idle = idle(task, nowMs)
        val startable = leastCapacity(idle.filter { limits.mayStart(task.job, it, nowMs) })
        val row = startable ?: held ?: leastCapacity(idle)
        row?.let { reservations.reserve(it, task, nowMs) }
        return row
    }

    private fun candidates(task: TaskRow, nowMs: Long): List<BackendRow> = tables.backends.values.filter {
        it.info.service == task.job.queue.service && health.isUsable(it, nowMs) && isSuitable(task, it)
    }

    private fun isSuitable(task: TaskRow, row: BackendRow): Boolean =
        task.step.demand.fitsInto(row.info.capacity) && row !in task.failedOn && task.key !in row.tasks &&
            row.hasLabel(task.step.requiredLabel)
}
