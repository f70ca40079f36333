package medlarroute.core

import kotlin.time.Duration

/** One task of a job. [declared] is the caller's estimate of the run time, a hint only. */
public data class TaskSpec(public val payload: String, public val declared: Duration? = null)

/**
 * A job as submitted by a caller.
 *
 * @property timeout time from arrival at the home to the deadline of the answer.
 * @property idempotent false if a task must run at most once even where the caller would accept a second run. No task
 *   is started twice in either case; the flag is passed on to the backend server.
 */
public data class Job(
    public val submission: SubmissionId,
    public val caller: CallerId,
    public val kind: KindId,
    public val timeout: Duration,
    public val tasks: List<TaskSpec>,
    public val idempotent: Boolean = true,
)
