package medlarroute.core

import kotlin.time.Duration

/** Actions that the engine requests. */
public sealed interface Effect {
    /**
     * Sends the task to the backend server. Must lead to exactly one of [Input.TaskDone], [Input.TaskFailed],
     * [Input.TaskNotStarted] and [Input.TaskLost].
     *
     * @property decidedAt time of the decision, on the clock of [Engine.elapsed]; a start that is too old is not sent.
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

    /** Asks the backend server to stop the task, as its job has ended. Best effort. */
    public data class Stop(public val task: TaskId, public val backend: BackendId) : Effect

    /** The job has ended. Emitted exactly once for each submitted job. */
    public data class Answered(public val submission: SubmissionId, public val answer: Answer) : Effect
}
