package medlarroute.dispatch.reservations

import medlarroute.dispatch.BackendRow
import medlarroute.dispatch.EventLog
import medlarroute.dispatch.JobRow
import medlarroute.dispatch.TaskRow

/**
 * All reservations of backend servers for tasks that run alone. A reserved backend server starts no other task.
 *
 * A task has at most one reservation. It ends with the task's run there, with its job, when the task starts elsewhere,
 * and when the backend server is no longer listed. If such an event is missed, or the task can't be placed, it expires:
 * it is kept while the run is active there, and otherwise for [UNCLAIMED_MS] after the last placement pass that claimed
 * it, which only a pass that tries to start the task does.
 */
internal class BackendReservations(private val log: EventLog) {
    private class Reservation(val task: TaskRow, val madeAtMs: Long) {
        var claimedAtMs = madeAtMs
    }

    private val byBackend = LinkedHashMap<BackendRow, Reservation>()

    val size: Int get() = byBackend.size

    fun isReserved(row: BackendRow): Boolean = row in byBackend

    /** The backend server that is reserved for [task]; null if none is. */
    fun find(task: TaskRow): BackendRow? = byBackend.entries.firstOrNull { it.value.task === task }?.key

    /** As [find], for a placement pass that is about to start [task]. The reservation is kept for longer. */
    fun claim(task: TaskRow, nowMs: Long): BackendRow? = find(task)?.also { byBackend.getValue(it).claimedAtMs = nowMs }

    /** Reserves [row] for [task], in place of any other reservation of the task or of the backend server. */
    fun reserve(row: BackendRow, task: TaskRow, nowMs: Long) {
        val held = find(task)
        if (held === row) return
        if (held != null) release(held, ReservationEnd.MOVED)
        if (isReserved(row)) release(row, ReservationEnd.REPLACED)
        byBackend[row] = Reservation(task, nowMs)
        log.event(
            "dispatch", "task-isolated", "job", task.key.job, "task", task.key, "backend", row.info.id,
            "waitsFor", row.tasks.size, "possibleCrashes", task.possibleCrashes, "reserved", size,
        )
    }

    /** [row] is not suitable for its task any more. */
    fun onUnsuitable(row: BackendRow) = release(row, ReservationEnd.UNSUITABLE)

    /** A run of [task] has started on [row], or was found there. */
    fun onStarted(task: TaskRow, row: BackendRow) {
        val held = find(task) ?: return
        if (held !== row) release(held, ReservationEnd.STARTED_ELSEWHERE)
    }

    /** [task], or its run, has ended. */
    fun onEnded(task: TaskRow) {
        find(task)?.let { release(it, ReservationEnd.ENDED) }
    }

    /** Releases what waits for tasks of [job]. What runs one is released at the end of the run. */
    fun onJobEnded(job: JobRow) {
        if (byBackend.isEmpty()) return
        val waiting = byBackend.filter { (_, reservation) ->
            reservation.task.job === job && reservation.task.backend == null
        }
        waiting.keys.forEach { release(it, ReservationEnd.JOB_ENDED) }
    }

    /** [row] is no longer controlled by this instance. */
    fun onRemoved(row: BackendRow) = release(row, ReservationEnd.UNLISTED)

    /** All jobs and backend servers were handed over to the next owner. */
    fun clear() = byBackend.keys.toList().forEach(::onRemoved)

    /** Releases the reservations that nothing keeps; called by each tick. */
    fun expire(nowMs: Long) {
        if (byBackend.isEmpty()) return
        val expired = byBackend.filter { (row, reservation) ->
            val isRunning = row.tasks[reservation.task.key] === reservation.task
            !isRunning && nowMs - reservation.claimedAtMs > UNCLAIMED_MS
        }
        for ((row, reservation) in expired) {
            byBackend -= row
            val task = reservation.task
            log.event(
                "dispatch", "reservation-expired", "job", task.key.job, "task", task.key, "backend", row.info.id,
                "state", task.state, "ended", task.job.ended, "heldForMs", nowMs - reservation.madeAtMs,
                "unclaimedForMs", nowMs - reservation.claimedAtMs, "reserved", size,
            )
        }
    }

    private fun release(row: BackendRow, end: ReservationEnd) {
        val task = byBackend.remove(row)?.task ?: return
        log.event(
            "dispatch", "reservation-released", "job", task.key.job, "task", task.key, "backend", row.info.id,
            "reason", end, "reserved", size,
        )
    }

    companion object {
        /** 25 ticks of 20 ms, so that a task which is placed late by a slow machine keeps its backend server. */
        const val UNCLAIMED_MS = 500L
    }
}

/** Why a reservation has ended before it expired. */
internal enum class ReservationEnd {
    /** The task, or its run on the backend server, has ended. */
    ENDED,
    JOB_ENDED,
    STARTED_ELSEWHERE,

    /** Another backend server is reserved for the task. */
    MOVED,

    /** A run of another task that has to be alone was found there. */
    REPLACED,

    /** The backend server can't start the task now. */
    UNSUITABLE,

    /** The backend server is no longer listed or owned. */
    UNLISTED,
}
