package medlarroute.core

import kotlin.time.Duration

/** One task of a job. [declaredRunTime] is the caller's estimate and only a hint. */
public data class TaskSpec(public val payload: String, public val declaredRunTime: Duration? = null)

/**
 * A job as submitted by a caller.
 *
 * @property timeout time from arrival at the home to the deadline of the answer.
 * @property idempotent whether it would do no harm to run a task twice. No task is started twice in either case; the
 *   flag is only passed on to the backend server.
 */
public data class Job(
    public val submission: SubmissionId,
    public val caller: CallerId,
    public val kind: KindId,
    public val timeout: Duration,
    public val tasks: List<TaskSpec>,
    public val idempotent: Boolean = true,
)
