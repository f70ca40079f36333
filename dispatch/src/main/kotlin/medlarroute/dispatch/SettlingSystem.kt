package medlarroute.dispatch

/**
 * Tells when no run that an earlier owner started can be alive without being known.
 *
 * A run is alive at most a lease after the last look of its owner. After that, or once every backend server has been
 * seen under this owner's token, what runs is known.
 */
internal class SettlingSystem(
    private val settings: DispatchSettings,
    private val tables: DispatchTables,
) {
    private val settledDomains = HashMap<String, Long>()

    /**
     * Whether a task of [job] may start.
     *
     * A job that no earlier owner had need not wait: callers repeat a job only some time after its last attempt has
     * failed, longer than a lease, so none of its runs is alive.
     */
    fun mayStart(job: JobRow, nowMs: Long): Boolean {
        if (job.predecessor?.hasRuns == true) return false
        job.predecessor = null
        return !job.isResumed || tables.tokens.keys.all { isSettled(it, nowMs) }
    }

    /**
     * When the tasks of a job may start that [progress] says an earlier owner has ordered.
     *
     * That all listed backend servers have been seen is not enough: after a partition, the entries of those that were
     * cut off are missing for a while.
     */
    fun startableAtMs(task: TaskKey, progress: JobProgress, nowMs: Long): Long {
        val mayRun = progress.ordered == null || task in progress.ordered
        return if (mayRun) nowMs + longestRunMs() else NEVER_MS
    }

    private fun isSettled(failureDomain: String, nowMs: Long): Boolean {
        val sinceMs = tables.ownedSinceMs.getValue(failureDomain)
        if (settledDomains[failureDomain] == sinceMs) return true
        val rows = tables.backendsIn(failureDomain)
        val allSeen = rows.isNotEmpty() && rows.all { it.seenAtMs != NEVER_MS }
        val isSettled = allSeen || nowMs - sinceMs >= longestRunMs()
        if (isSettled) settledDomains[failureDomain] = sinceMs
        return isSettled
    }

    private fun longestRunMs(): Long = (MAX_LEASE_MS * (1 + settings.clockDrift)).toLong() + STOP_MARGIN_MS

    private companion object {
        /** Longest lease that a backend server grants, on its own clock; set by the platform. */
        const val MAX_LEASE_MS = 1_000L

        /** Time that the end of a run may take once its lease has lapsed. */
        const val STOP_MARGIN_MS = 80L
    }
}
