package medlarroute.core

import kotlin.time.Duration

/** What the engine wants done. */
public sealed interface Effect {
    /**
     * Send the task to the backend server. Must end in exactly one of [Input.TaskDone], [Input.TaskFailed],
     * [Input.TaskNotStarted] and [Input.TaskLost].
     *
     * @property decidedAt time of the decision, as elapsed time of the engine; an over-aged start is not sent.
     * @property lease how long the backend server may work on the task.
     */
    public data class Start(
        public val task: TaskId,
        public val backend: BackendId,
        public val kind: KindId,
        public val payload: String,
        public val idempotent: Boolean,
        public val lease: Duration,
        public val decidedAt: Duration,
    ) : Effect

    /** Tell the backend server to stop the task; its job has ended. Best effort. */
    public data class Stop(public val task: TaskId, public val backend: BackendId) : Effect

    /** The job has ended. Emitted exactly once for each submitted job. */
    public data class Answered(public val submission: SubmissionId, public val answer: Answer) : Effect
}
