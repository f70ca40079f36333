package medlarroute.dispatch

/**
 * Limits how long this owner extends the leases of runs whose jobs may have been sent to another owner.
 *
 * The instance that has submitted a job may send it to another owner at any time, and its caller may send it again
 * through another instance. The one waits for [longestRunMs], the other longer, and both count on all runs having
 * ended by then; messages to this owner may be lost. A run therefore keeps its lease only for a limited time after its
 * job was renewed. The lease of a backend server covers all its runs, so the run with the earliest limit decides.
 */
internal class LeaseLimits(private val settings: DispatchSettings, private val tables: DispatchTables) {
    /** Time up to which leases of the runs of [job] may be granted. */
    fun limitMs(job: JobRow): Long = job.renewedAtMs + settings.renewedLeaseMs

    /** Time up to which the lease of [row] may be extended; in the past if it must not be. */
    fun limitMs(row: BackendRow): Long {
        var limitMs = Long.MAX_VALUE
        for (task in row.tasks.values) limitMs = minOf(limitMs, limitMs(task.job))
        for (run in row.unknownRuns.values) {
            if (run.missingSinceMs == NEVER_MS) limitMs = minOf(limitMs, unknownLimitMs(row, run))
        }
        return limitMs
    }

    /**
     * An owner that has released the failure domain has told the submitters, and the leases that it granted suffice
     * until they submit their jobs here. After its death, they need longer.
     */
    private fun unknownLimitMs(row: BackendRow, run: UnknownRun): Long {
        val takenOverAtMs = tables.takenOverAtMs[row.info.failureDomain] ?: return NEVER_MS
        return minOf(run.firstReportedMs, takenOverAtMs + FIRST_REPORT_MS) + settings.unknownLeaseMs
    }

    /**
     * Whether a task of [job] may start on [row]: the lease that was granted there already must not exceed the limit of
     * the job, and the start must not extend the lease of another run beyond its limit.
     */
    fun mayStart(job: JobRow, row: BackendRow, nowMs: Long): Boolean {
        val startLeaseEndMs = nowMs + settings.startValidityMs
        return limitMs(job) >= maxOf(row.lease.grantedUntilMs, startLeaseEndMs) && limitMs(row) >= startLeaseEndMs
    }

    private companion object {
        /** A backend server that answers reports its runs within this time. The next takeover begins later. */
        const val FIRST_REPORT_MS = 250L
    }
}
