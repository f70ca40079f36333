package medlarroute.dispatch

/** Ejects backend servers that fail in a row and learns how fast each one is. */
internal class BackendHealthSystem(
    private val settings: DispatchSettings,
    private val tables: DispatchTables,
    private val log: EventLog,
) {
    fun succeeded(row: BackendRow, task: TaskRow, runMs: Double) {
        row.failuresInRow = 0
        if (row.ejections > 0) log.event("backend", "restored", "backend", row.info.id, "ejections", row.ejections)
        row.ejections = 0
        val estimateMs = task.job.estimatesMs[task.key.step]
        val sample = (estimateMs / runMs.coerceAtLeast(1.0)).coerceIn(MIN_SPEED, MAX_SPEED)
        row.speed += (sample - row.speed) * SPEED_STEP
        tables.runTimes.getOrPut(task.job.queue.id) { RunTimeEstimate() }.record(runMs * row.speed)
    }

    fun failed(row: BackendRow, reason: String, nowMs: Long, weight: Int = 1) {
        row.failuresInRow += weight
        val limit = if (row.isProbation) 1 else EJECT_AFTER
        if (row.failuresInRow < limit || row.ejectedUntilMs > nowMs) return
        val forMs = (settings.ejectMs shl row.ejections.coerceAtMost(MAX_DOUBLINGS)).coerceAtMost(settings.maxEjectMs)
        row.ejectedUntilMs = nowMs + forMs
        row.ejections++
        log.event(
            "backend", "ejected", "backend", row.info.id, "reason", reason, "forMs", forMs,
            "failuresInRow", row.failuresInRow,
        )
    }

    fun isUsable(row: BackendRow, nowMs: Long): Boolean =
        row.isServing(nowMs) && row.seenAtMs != NEVER_MS && row.clockOffsetMs != null &&
            row.heldUntilMs <= nowMs && row.unknownRuns.isEmpty() && !row.isBeingProbed

    companion object {
        /** A task may fail by itself; two in a row are rarely chance at the usual share of 0.2% failing tasks. */
        const val EJECT_AFTER = 2
        const val MAX_DOUBLINGS = 3
        const val MIN_SPEED = 0.1
        const val MAX_SPEED = 4.0

        /** Weight of one run in the speed of a backend server; a slow one shows after three or four runs. */
        const val SPEED_STEP = 0.2
    }
}
