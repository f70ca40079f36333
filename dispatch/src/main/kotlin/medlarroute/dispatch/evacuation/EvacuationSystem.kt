package medlarroute.dispatch.evacuation

import medlarroute.dispatch.DispatchTables
import medlarroute.dispatch.JobEndSystem
import medlarroute.dispatch.JobResult
import medlarroute.dispatch.JobRow
import medlarroute.dispatch.NotRunCode
import medlarroute.dispatch.OpenJobSystem
import medlarroute.dispatch.slowstart.SlowStartSystem

/**
 * What an owner does in evacuated failure domains.
 *
 * It stays the owner: it renews the leases there and processes the ends of runs, and only starts no task. If all its
 * failure domains are evacuated, each of its jobs moves to another owner as soon as no task of it runs here.
 */
internal class EvacuationSystem(
    private val tables: DispatchTables,
    private val openJobs: OpenJobSystem,
    private val ends: JobEndSystem,
    private val slowStart: SlowStartSystem,
) {
    private var turn = 0

    val startsAvoided: Long get() = tables.startsAvoided

    /** Whether this instance has jobs and can't start any task since all its failure domains are evacuated. */
    val hasJobsToMove: Boolean get() = tables.areAllEvacuated && tables.jobs.isNotEmpty()

    /** Replaces the set of evacuated failure domains. */
    fun evacuate(domains: Set<String>, nowMs: Long) {
        tables.evacuated = domains
        for (row in tables.backends.values) {
            val wasEvacuated = row.isEvacuated
            row.isEvacuated = row.info.failureDomain in domains
            if (wasEvacuated && !row.isEvacuated) slowStart.onEvacuationEnded(row, nowMs)
        }
    }

    /**
     * Moves the jobs without runs to [owners] in turn. If there are none, refuses those of which no task was started;
     * the others wait for the end of the evacuation.
     */
    fun moveJobs(owners: List<String>, nowMs: Long) {
        if (!hasJobsToMove) return
        val idle = tables.jobs.values.filter { !it.isRunning && mayMove(it, nowMs) }
        for (job in idle) {
            if (owners.isNotEmpty()) {
                tables.startsAvoided += job.openTasks
                openJobs.moveTo(job, owners[turn++.mod(owners.size)], nowMs)
            } else if (!job.everDispatched) {
                tables.startsAvoided += job.openTasks
                refuse(job, nowMs)
            }
        }
    }

    /** A job that another owner has sent here waits for a while, so that two owners can't send it back and forth. */
    private fun mayMove(job: JobRow, nowMs: Long) = !job.isResumed || nowMs - job.submittedAtMs >= RETURN_MS

    /** A run that an earlier attempt at the job has started may go on. */
    private fun refuse(job: JobRow, nowMs: Long) {
        val hasRun = job.highestPriorRun > 0 || job.allTasks().any { tables.runs.findActive(it.key, nowMs) != null }
        val refusal = JobResult.NotRun(NotRunCode.OVERLOAD, REASON, RETRY_MS)
        ends.end(job, if (hasRun) JobResult.Abandoned("an earlier attempt may run: $REASON") else refusal, nowMs)
    }

    companion object {
        const val REASON = "the failure domains of the owner are evacuated"

        /** Each instance learns of an evacuation from the store or from a heartbeat within about this time. */
        const val RETURN_MS = 250L

        /** As for other refusals for lack of capacity. */
        private const val RETRY_MS = 1_000L
    }
}
