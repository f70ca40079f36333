package medlarroute.dispatch

import kotlinx.serialization.Serializable

/** Result of a job as reported to its caller. */
@Serializable
public sealed interface JobResult {
    /** All tasks are done. */
    @Serializable
    public data object Complete : JobResult

    /** A task has reached the maximum number of failed runs of its queue. */
    @Serializable
    public data class Failed(val reason: String) : JobResult

    /** No task was started. [retryAfterMs] is the time after which a retry may succeed; null if it never will. */
    @Serializable
    public data class NotRun(val code: NotRunCode, val reason: String, val retryAfterMs: Long?) : JobResult

    /** Abandoned, although tasks may have run. */
    @Serializable
    public data class Abandoned(val reason: String) : JobResult

    /** Cancelled by the caller. */
    @Serializable
    public data object Cancelled : JobResult
}

/** Why a job was not run. */
public enum class NotRunCode { NO_CONFIGURATION, UNKNOWN_QUEUE, CAN_NEVER_RUN, OVERLOAD, NO_OWNER }

/**
 * Progress of a job that moves from one owner to another.
 *
 * @property done tasks that have completed.
 * @property ordered tasks that may be running; null if the previous owner reported none, so that any task may be.
 * @property highestRun highest run number that was used for any task.
 * @property histories what is known of tasks that have failed or may have crashed backend servers.
 * @property runsEndInMs time in milliseconds after which no run of the job is active, unless the next owner extends its
 *   lease.
 */
@Serializable
public data class JobProgress(
    public val done: List<TaskKey> = emptyList(),
    public val ordered: List<TaskKey>? = null,
    public val highestRun: Int = 0,
    public val histories: List<TaskHistory> = emptyList(),
    public val runsEndInMs: Long = 0,
) {
    /** Whether certainly no task was started. */
    internal val isNotStarted: Boolean
        get() = done.isEmpty() && ordered?.isEmpty() == true && highestRun == 0 && runsEndInMs == 0L
}
