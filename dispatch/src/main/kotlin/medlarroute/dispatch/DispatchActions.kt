package medlarroute.dispatch

/** Actions that the dispatcher requests from its environment. Called on the dispatcher's thread. */
public interface DispatchActions {
    public fun start(command: StartCommand)

    public fun stop(command: StopCommand)

    /** [number] identifies the poll and is passed back to [Dispatcher.onPollResult]. */
    public fun poll(request: PollRequest, number: Long)

    /** Delivers the result of a job. Called once for each instance that waits for it. */
    public fun jobEnded(origin: JobOrigin, job: JobId, result: JobResult)

    /** This instance has learned more about tasks, which the next owner of their jobs has to know. */
    public fun historiesChanged(histories: List<TaskHistory>)

    /**
     * Runs of [tasks] go on although their jobs are unknown here or have ended, and are being stopped. The other owners
     * must not start these tasks.
     */
    public fun runsRemain(tasks: List<TaskKey>)

    /**
     * [jobs] have been open here for so long that their callers may soon send them again. The other owners must not run
     * them.
     */
    public fun jobsOpen(jobs: OpenJobs)

    /** [job] is no longer run here since it is open at [owner], where [origin] has to submit it. */
    public fun jobMoved(origin: JobOrigin, job: JobId, progress: JobProgress, owner: String)

    /** A backend server has rejected a command or a poll since it has received a higher token of another owner. */
    public fun onFenced(failureDomain: String)
}

/**
 * Jobs that are open at an owner.
 *
 * @property running those that have runs.
 * @property waiting those that have none.
 * @property areAll whether these are all jobs that the owner has to announce, also if there are none.
 */
public data class OpenJobs(
    public val running: List<JobId>,
    public val waiting: List<JobId>,
    public val areAll: Boolean = false,
)
