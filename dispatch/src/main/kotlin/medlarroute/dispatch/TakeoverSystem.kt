package medlarroute.dispatch

/**
 * Delays starts after a takeover while an unknown run of a previous owner may still be active, so that no task runs
 * twice at the same time.
 *
 * A run ends at the latest one lease after the last poll by its owner. All runs are known once that time has passed, or
 * once every backend server has reported its runs under this owner's token.
 */
internal class TakeoverSystem(
    private val settings: DispatchSettings,
    private val tables: DispatchTables,
) {
    /** Failure domains whose runs are all known, with the time of the takeover for which this holds. */
    private val domainsWithKnownRuns = HashMap<String, Long>()

    /**
     * Whether a task of [job] may start.
     *
     * A job that no previous owner had does not wait: callers retry a job only after more than a lease has passed since
     * its last attempt failed, so that none of its runs is active.
     */
    fun mayStart(job: JobRow, nowMs: Long): Boolean {
        if (job.predecessor?.hasRuns == true) return false
        job.predecessor = null
        return !job.isResumed || tables.tokens.keys.all { areRunsKnown(it, nowMs) }
    }

    /**
     * Earliest start of [task] in a resumed job, given the [progress] that a previous owner reported.
     *
     * A task that may already run has to wait for the lease, even if all listed backend servers have reported: after a
     * partition, the entries of backend servers that were cut off are missing from the list for a while.
     */
    fun notBeforeMs(task: TaskKey, progress: JobProgress, nowMs: Long): Long {
        val mayRun = progress.ordered == null || task in progress.ordered
        return if (mayRun) nowMs + longestRunMs() else NEVER_MS
    }

    private fun areRunsKnown(failureDomain: String, nowMs: Long): Boolean {
        val sinceMs = tables.ownedSinceMs.getValue(failureDomain)
        if (domainsWithKnownRuns[failureDomain] == sinceMs) return true
        val rows = tables.backendsIn(failureDomain)
        val allReported = rows.isNotEmpty() && rows.all { it.lastReportAtMs != NEVER_MS }
        val areRunsKnown = allReported || nowMs - sinceMs >= longestRunMs()
        if (areRunsKnown) domainsWithKnownRuns[failureDomain] = sinceMs
        return areRunsKnown
    }

    private fun longestRunMs(): Long = (MAX_LEASE_MS * (1 + settings.clockDrift)).toLong() + STOP_MARGIN_MS
}

/** Longest lease that a backend server grants, on its own clock; defined by the platform. */
internal const val MAX_LEASE_MS = 1_000L

/** Time that a backend server may take to stop a run once its lease has expired or it has acknowledged a stop. */
internal const val STOP_MARGIN_MS = 80L
