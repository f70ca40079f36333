package medlarroute.core

import kotlin.time.Duration

/** What the engine is told. Inputs about tasks that the engine no longer holds are ignored. */
public sealed interface Input {
    /** A job that the [SubmissionRegistry] has accepted as new. */
    public data class Submit(public val job: Job) : Input

    /** The caller withdrew the job. */
    public data class Cancel(public val submission: SubmissionId) : Input

    /** The backend server ran the task to its end in [runTime], without transfer and waiting. */
    public data class TaskDone(
        public val task: TaskId,
        public val output: String,
        public val runTime: Duration,
        public val usage: BackendUsage? = null,
    ) : Input

    /** The backend server ran the task and reports an error. */
    public data class TaskFailed(
        public val task: TaskId,
        public val message: String,
        public val usage: BackendUsage? = null,
    ) : Input

    /** It is proved that the task did not start. The engine may send it again. */
    public data class TaskNotStarted(
        public val task: TaskId,
        public val reason: NotStartedReason,
        public val usage: BackendUsage? = null,
    ) : Input

    /** The task was sent and nothing proves whether it ran. */
    public data class TaskLost(public val task: TaskId, public val message: String) : Input

    /** The backend server is known and serving. */
    public data class BackendServing(public val backend: BackendServer) : Input

    /** The backend server is leaving: no new starts, running tasks go on. */
    public data class BackendLeaving(public val backend: BackendId) : Input

    /** The backend server is gone from the list. */
    public data class BackendRemoved(public val backend: BackendId) : Input

    /** New rules are in force. */
    public data class RulesChanged(public val rules: Rules) : Input

    /** The part of each team's quota that this instance may use now, in starts per second. */
    public data class SharesChanged(public val startsPerSecond: Map<TeamId, Double>) : Input
}

/** Why a start is known not to have taken place. */
public enum class NotStartedReason {
    /** All slots were busy. */
    BUSY,

    /** The backend server is leaving. */
    LEAVING,

    /** No connection, the stream was refused, or GOAWAY named a lower last stream. */
    NOT_DELIVERED,

    /** The decision was too old when it was about to be sent. */
    STALE,
}
