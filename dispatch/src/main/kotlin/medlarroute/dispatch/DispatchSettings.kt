package medlarroute.dispatch

import medlarroute.allocation.ShareSettings

/**
 * Times and limits of the dispatcher. All times are in milliseconds.
 *
 * @property leaseMs lease of the runs on a backend server. Shorter than the platform's maximum of 1,000 ms, so that
 *   the runs of a dead owner end soon; longer than two [pollWaitMs], so that one lost poll expires no lease.
 * @property renewedLeaseMs time after the last renewal of a job up to which the leases of its runs are extended. The
 *   next owner of the job, and a caller that sends it again, wait longer than this and [unknownLeaseMs] together.
 * @property unknownLeaseMs how long the lease of a run that is found after the death of the previous owner is extended
 *   until its job is submitted here.
 * @property withdrawAfterMs time without a renewal after which a job is withdrawn, so that its runs are stopped before
 *   the lease of the runs beside them is limited.
 * @property announceAfterMs age of a job at which the other owners are told that it is open here: well before
 *   [earliestRepeatMs], so that a message may be lost.
 * @property announceIntervalMs interval at which they are told again.
 * @property earliestRepeatMs age of a job from which its caller may have sent it again, with a reserve for the way of
 *   the request.
 * @property objectionMs time after an announcement within which an owner that has the job open, too, has answered.
 * @property resubmissionMs time after the takeover from a lost owner within which instances submit its jobs.
 * @property pollWaitMs how long a poll waits for a run to end.
 * @property idlePollWaitMs the same for a backend server without runs. The lease is longer by the difference to
 *   [pollWaitMs]. It is shorter than [renewedLeaseMs] by a heartbeat interval, since a task does not start
 *   where a lease beyond the limit of its job was granted.
 * @property pollTimeoutMs time beyond [pollWaitMs] after which a poll counts as lost: several round trips on a slow
 *   machine.
 * @property startValidityMs validity of a start command, so that commands which arrive seconds late are rejected.
 * @property unknownRunGraceMs how long a run that belongs to no job is left running. Gives the instance that holds the
 *   job time to resubmit it after the owner died. A stop after that ends the run before [unknownLeaseMs] limits the
 *   lease of the runs beside it.
 * @property unclaimedCompletionMs how long the completion of a run that belongs to no job is kept for a resubmission.
 * @property hangTimeoutMs time without progress after which a run counts as hung. It doubles each time that the task
 *   has hung.
 * @property firstEjectionMs duration of the first ejection of a backend server after consecutive failures. It doubles
 *   with each further ejection up to [maxEjectionMs].
 * @property overheadMs time from the first byte of a request to the start of a task, plus the time from the end of the
 *   last task to the last byte of the response.
 * @property clockDrift maximum fraction by which a backend server's clock may run slow.
 * @property crashesOfCause number of backend servers that must have crashed under a task before it is given up, if it
 *   ran alone on at least one of them.
 * @property maxCrashes number of backend servers after whose crash a task is given up in any case.
 * @property crashConfirmationMs how long a backend server must have refused connections before a task is given up for
 *   its crash; longer than the losses of the backend servers of a rack are apart.
 * @property isolationShare maximum fraction of the backend servers that may be reserved for tasks with a crash while
 *   they are busy.
 * @property historyRetentionMs how long the history of a task is kept after its last change and the end of its job;
 *   longer than a caller repeats a job.
 * @property farRackFactor how many times as long a task runs on a rack other than the one that holds its data.
 * @property slowStartMs how long a backend server gets a rising share of the work after its failure domain was
 *   evacuated, after a restart or an ejection; not after its listed cold time, which has its own end. About two of the
 *   longest usual tasks, so that the first ones have ended before it gets its full share; 0 for none.
 * @property overflowPercent load in percent from which an owner is not asked for jobs that other owners have refused,
 *   in deployments with an owner for each failure domain, since it has more queued work than it can start. 0 restores
 *   the choice of deployments with a single owner.
 * @property sharing weights of the queues' guaranteed shares of the cores; null for none.
 * @property maxOpenJobs maximum number of open jobs; bounds memory.
 */
public data class DispatchSettings(
    val leaseMs: Long = 700,
    val renewedLeaseMs: Long = 950,
    val unknownLeaseMs: Long = 200,
    val withdrawAfterMs: Long = 600,
    val announceAfterMs: Long = 600,
    val announceIntervalMs: Long = 300,
    val earliestRepeatMs: Long = 1_000,
    val objectionMs: Long = 60,
    val resubmissionMs: Long = 100,
    val pollWaitMs: Long = 250,
    val idlePollWaitMs: Long = 400,
    val pollTimeoutMs: Long = 150,
    val startValidityMs: Long = 200,
    val unknownRunGraceMs: Long = 100,
    val unclaimedCompletionMs: Long = 2_000,
    val hangTimeoutMs: Long = 450,
    val firstEjectionMs: Long = 1_500,
    val maxEjectionMs: Long = 8_000,
    val overheadMs: Long = 12,
    val clockDrift: Double = 0.02,
    val maxOpenJobs: Int = 5_000,
    val crashesOfCause: Int = 2,
    val maxCrashes: Int = 3,
    val crashConfirmationMs: Long = 300,
    val isolationShare: Double = 0.25,
    val historyRetentionMs: Long = 60_000,
    val farRackFactor: Double = 2.0,
    val slowStartMs: Long = 0,
    val overflowPercent: Int = 120,
    val sharing: ShareSettings? = null,
) {
    /** How many times as long a task of [step] is expected to run on [backend] as it would on its preferred rack. */
    internal fun rackFactor(step: StepRequest, backend: BackendInfo): Double =
        if (step.preferredRack == null || step.preferredRack in backend.labels) 1.0 else farRackFactor

    /** Longest lease that an owner grants; it does so to a backend server without runs. */
    internal val longestLeaseMs: Long get() = leaseMs + (idlePollWaitMs - pollWaitMs).coerceAtLeast(0)

    /**
     * Returns the times of a deployment that these settings can't rely on; tasks may run twice there.
     *
     * @param callerRepeatMs how long a caller waits at least before it sends a job again, in milliseconds.
     * @param stopMs how long a run goes on at most after its stop was acknowledged, in milliseconds.
     * @param maxLeaseMs longest lease that a backend server grants, in milliseconds.
     */
    public fun unmetNeeds(callerRepeatMs: Long, stopMs: Long, maxLeaseMs: Long): List<TimeConflict> {
        val longestMs = longestRunMs(this)
        return listOfNotNull(
            TimeConflict.CallerRepeat(callerRepeatMs, longestMs).takeIf { callerRepeatMs < longestMs },
            TimeConflict.Stop(stopMs, STOP_MARGIN_MS).takeIf { stopMs > STOP_MARGIN_MS },
            TimeConflict.Lease(maxLeaseMs, longestLeaseMs).takeIf { maxLeaseMs < longestLeaseMs },
        )
    }
}

/** A time that a deployment promises and that is inconsistent with one of [DispatchSettings]; both in milliseconds. */
public sealed interface TimeConflict {
    /** Callers repeat a job after [promisedMs], while runs of the first attempt go on for up to [neededMs]. */
    public data class CallerRepeat(val promisedMs: Long, val neededMs: Long) : TimeConflict

    /** Runs go on for [promisedMs] after their stop, while they count as ended after [expectedMs]. */
    public data class Stop(val promisedMs: Long, val expectedMs: Long) : TimeConflict

    /** Backend servers grant leases of [promisedMs] at most, while leases of [usedMs] are requested. */
    public data class Lease(val promisedMs: Long, val usedMs: Long) : TimeConflict
}
