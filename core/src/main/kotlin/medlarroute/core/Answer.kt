package medlarroute.core

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.time.Duration

/** The one answer to a submission. There is no partial answer. */
@Serializable
public sealed interface Answer {
    /** All tasks are done; [outputs] has one entry for each task, in the order of the job's tasks. */
    @Serializable
    @SerialName("complete")
    public data class Complete(public val outputs: List<String>) : Answer

    /** The job did not complete, and at least one of its tasks may have run. */
    @Serializable
    @SerialName("failed")
    public data class Failed(public val code: FailureCode, public val detail: String) : Answer

    /** No task of the job ran: none was started, or each start was proved not to have happened. */
    @Serializable
    @SerialName("refused")
    public data class Refused(public val findings: List<Refusal>, public val retryAfter: Duration? = null) : Answer
}

/** Why a job failed although it may have run. */
public enum class FailureCode {
    /** A backend server ran a task and reported an error. */
    TASK_FAILED,

    /** A task was sent, and it is unknown whether it ran. */
    TASK_LOST,

    /** The deadline passed before all tasks were done. */
    DEADLINE,

    /** The caller cancelled the job after a task had been sent. */
    CANCELLED,

    /** The home of the submission was restarted, is dead or is unreachable. */
    HOME_LOST,

    /** The submission was handled before, and its answer is no longer kept. */
    ANSWER_EXPIRED,

    /** The platform's table can't show whether the idempotency key was used before. No task was started this time. */
    CLAIM_UNKNOWN,
}

/** One reason why a job was refused. [place] is the part of the request, the rules or the state that caused it. */
@Serializable
public data class Refusal(public val code: RefusalCode, public val place: String, public val message: String)

/** Why a job was refused. */
public enum class RefusalCode {
    /** The request can't be parsed or exceeds a limit. */
    MALFORMED,

    /** The caller could not be authenticated. */
    NOT_AUTHENTICATED,

    /** The body or a payload is larger than allowed. */
    TOO_LARGE,

    /** No backend server could ever run the job. */
    CAN_NEVER_RUN,

    /** The deadline can't be met at the current load. */
    OVERLOAD,

    /** The team is above its quota. */
    QUOTA,

    /** The caller has too many open jobs. */
    CALLER_LIMIT,

    /** The instance is stopping. */
    DRAINING,

    /** The instance has no rules yet. */
    NO_RULES,

    /** The submission id was used before with a different request. */
    DIGEST_MISMATCH,

    /** The ticket accepts no new submissions: its window is full or its home was replaced. */
    TICKET_CLOSED,

    /** The home never issued the ticket, or issued it to another caller. */
    UNKNOWN_TICKET,

    /** The caller cancelled the job before any task was sent. */
    CANCELLED,
}
