package medlarroute.dispatch

import medlarroute.dispatch.slowstart.SlowStartSystem

/** Ejects backend servers after consecutive failures and estimates the speed of each backend server. */
internal class BackendHealthSystem(
    private val settings: DispatchSettings,
    private val tables: DispatchTables,
    private val slowStart: SlowStartSystem,
    private val log: EventLog,
) {
    fun recordSuccess(row: BackendRow, task: TaskRow, runMs: Double, nowMs: Long) {
        row.failuresInRow = 0
        if (row.ejections > 0) {
            log.event("backend", "restored", "backend", row.info.id, "ejections", row.ejections)
            slowStart.onEjectionEnded(row, nowMs)
        }
        row.ejections = 0
        val estimateMs = task.job.estimatesMs[task.key.step]
        // A run on another rack than that of its data takes longer, which says nothing about the speed.
        val localMs = runMs / settings.rackFactor(task.step, row.info)
        val sample = (estimateMs / localMs.coerceAtLeast(1.0)).coerceIn(MIN_SPEED, MAX_SPEED)
        row.speed += (sample - row.speed) * SPEED_WEIGHT
        tables.runTimes.getOrPut(task.job.queue.id) { RunTimeEstimator() }.record(localMs * row.speed)
    }

    fun recordFailure(row: BackendRow, reason: String, nowMs: Long, weight: Int = 1) {
        row.failuresInRow += weight
        val limit = if (row.isOnProbation) 1 else EJECT_AFTER
        if (row.failuresInRow < limit || row.ejectedUntilMs > nowMs) return
        val doublings = row.ejections.coerceAtMost(MAX_DOUBLINGS)
        val forMs = (settings.firstEjectionMs shl doublings).coerceAtMost(settings.maxEjectionMs)
        row.ejectedUntilMs = nowMs + forMs
        row.ejections++
        log.event(
            "backend", "ejected", "backend", row.info.id, "reason", reason, "forMs", forMs,
            "failuresInRow", row.failuresInRow,
        )
    }

    /** Whether new tasks may be started on the backend server, which is not reserved for a single one. */
    fun isUsable(row: BackendRow, nowMs: Long): Boolean = !tables.reservations.isReserved(row) && canStart(row, nowMs)

    /** Whether the backend server can start tasks now. */
    fun canStart(row: BackendRow, nowMs: Long): Boolean =
        row.isServing(nowMs) && row.lastReportAtMs != NEVER_MS && row.backendClockMs(nowMs) != null &&
            row.pausedUntilMs <= nowMs && row.unknownRuns.isEmpty() && !row.isBeingProbed &&
            (tables.isGuarded(row.info.service) || isCapacityKnown(row, nowMs))

    /**
     * Whether [BackendRow.free] is certain. A new process may be of another kind, and a run that a previous owner has
     * stopped uses capacity for a while after it is no longer listed.
     */
    private fun isCapacityKnown(row: BackendRow, nowMs: Long): Boolean =
        row.isDescribed && nowMs - row.reachedAtMs >= STOP_MARGIN_MS

    companion object {
        /**
         * Consecutive failures before an ejection. About 0.2% of tasks fail by themselves, so two in a row are rarely
         * chance.
         */
        const val EJECT_AFTER = 2
        const val MAX_DOUBLINGS = 3
        const val MIN_SPEED = 0.1
        const val MAX_SPEED = 4.0

        /** Weight of one run in the speed estimate; a slow backend server is detected after three or four runs. */
        const val SPEED_WEIGHT = 0.2
    }
}
