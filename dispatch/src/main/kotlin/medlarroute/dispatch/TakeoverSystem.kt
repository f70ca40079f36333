package medlarroute.dispatch

/**
 * Delays starts after a takeover while an unknown run of a previous owner may still be active, so that no task runs
 * twice at the same time.
 *
 * A run ends at the latest [longestRunMs] after its submitter has last renewed it. All runs are known once that time
 * has passed, or once every backend server has reported its runs under this owner's token.
 */
internal class TakeoverSystem(
    private val settings: DispatchSettings,
    private val tables: DispatchTables,
) {
    /** Failure domains whose runs are all known, with the time of the takeover for which this holds. */
    private val domainsWithKnownRuns = HashMap<String, Long>()

    /** Whether all runs of a resumed [job] that a previous owner may have started are known. */
    fun areRunsKnown(job: JobRow, nowMs: Long): Boolean =
        !job.isResumed || tables.tokens.keys.all { areRunsKnown(it, nowMs) }

    /**
     * Records the runs that a previous owner of the resumed [job] may have started, given the [progress] that it
     * reported.
     *
     * Such a run may be active even if all listed backend servers have reported: after a partition, the entries of
     * backend servers that were cut off are missing from the list for a while.
     */
    fun recordPriorRuns(job: JobRow, progress: JobProgress, nowMs: Long) {
        val untilMs = nowMs + maxOf(longestRunMs(settings), progress.runsEndInMs)
        for (task in job.allTasks()) {
            val mayRun = progress.ordered == null || task.key in progress.ordered
            if (mayRun) tables.runs.recordUnplaced(task.key, untilMs)
        }
    }

    private fun areRunsKnown(failureDomain: String, nowMs: Long): Boolean {
        val sinceMs = tables.ownedSinceMs.getValue(failureDomain)
        if (domainsWithKnownRuns[failureDomain] == sinceMs) return true
        val rows = tables.backendsIn(failureDomain)
        val allReported = rows.isNotEmpty() && rows.all { it.lastReportAtMs != NEVER_MS }
        val areRunsKnown = allReported || nowMs - sinceMs >= longestRunMs(settings)
        if (areRunsKnown) domainsWithKnownRuns[failureDomain] = sinceMs
        return areRunsKnown
    }
}

/** Longest lease that a backend server grants, on its own clock; defined by the platform. */
internal const val MAX_LEASE_MS = 1_000L

/** Error of the estimated clock of a backend server, which drifts between two reports. */
internal const val CLOCK_ERROR_MS = 20L

/** Time that a backend server may take to stop a run once its lease has expired or it has acknowledged a stop. */
internal const val STOP_MARGIN_MS = 80L

/**
 * How long a run may go on after the last renewal of its job, in milliseconds, also under a new owner that does not
 * know the job. Each owner enforces this by [LeaseLimits].
 */
internal fun longestRunMs(settings: DispatchSettings): Long =
    ((settings.renewedLeaseMs + settings.unknownLeaseMs) * (1 + settings.clockDrift)).toLong() +
        CLOCK_ERROR_MS + STOP_MARGIN_MS
