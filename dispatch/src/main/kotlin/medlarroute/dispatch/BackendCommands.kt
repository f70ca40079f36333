package medlarroute.dispatch

/**
 * Order to run a task. The backend server refuses it after [validUntilMs] on its own clock, and does nothing if it has
 * seen a higher [token].
 */
public data class StartCommand(
    public val backend: BackendInfo,
    public val task: TaskKey,
    public val run: Int,
    public val payload: String,
    public val token: Long,
    public val validUntilMs: Long,
)

/** What came of a [StartCommand]. [clockMs] is the time of the backend server's clock. */
public sealed interface StartResult {
    /** The task runs. */
    public data class Started(val clockMs: Long) : StartResult

    /** The task was not started. */
    public data class Rejected(val reason: RejectReason, val clockMs: Long?) : StartResult

    /** Nothing shows whether the task was started. */
    public data class Unknown(val reason: String) : StartResult
}

/** Why a backend server did nothing. */
public enum class RejectReason {
    /** It has seen a higher token. */
    FENCED,

    /** It has seen this run of the task or a later one. */
    OLD_RUN,

    /** The order arrived after its validity. */
    EXPIRED,

    /** It has no room. */
    NO_ROOM,

    /** It is unhealthy, or another process has its address. */
    UNAVAILABLE,

    /** Nothing listens at its address. */
    REFUSED,

    /** It can't run this task. */
    INVALID,
}

/** Order to end a run. */
public data class StopCommand(
    public val backend: BackendInfo,
    public val task: TaskKey,
    public val run: Int,
    public val token: Long,
)

/**
 * Renews the lease of all runs on a backend server and asks for its state.
 *
 * @property leaseUntilMs end of the lease on its own clock; null if that clock isn't known yet.
 * @property acknowledgedEnd the backend server forgets ends up to this number.
 * @property waitMs how long the backend server may wait for an end before it responds.
 */
public data class PollRequest(
    public val backend: BackendInfo,
    public val token: Long,
    public val leaseUntilMs: Long?,
    public val acknowledgedEnd: Long,
    public val waitMs: Long,
)

/** What came of a [PollRequest]. */
public sealed interface PollResult {
    /** State of the backend server at [clockMs] on its clock. */
    public data class Report(
        val clockMs: Long,
        val incarnation: Long,
        val running: List<RunProgress>,
        val ended: List<RunEnd>,
    ) : PollResult

    /** Another instance has ordered with a higher token. */
    public data object Fenced : PollResult

    /** Nothing listens at the address: the process is gone. */
    public data object Refused : PollResult

    /** Another process has the address. */
    public data object Replaced : PollResult

    /** No usable response. */
    public data class Failed(val reason: String) : PollResult
}

/** A run on a backend server. [donePercent] is its progress. */
public data class RunProgress(public val task: TaskKey, public val run: Int, public val donePercent: Int)

/** A run that has ended. [number] counts the ends of one process. */
public data class RunEnd(
    public val number: Long,
    public val task: TaskKey,
    public val run: Int,
    public val outcome: RunOutcome,
)

/** How a run ended. */
public enum class RunOutcome { DONE, FAILED, STOPPED, LEASE_EXPIRED, OTHER }

/** Calls to backend servers. Each callback is called once, on the instance's thread. */
public interface BackendCommands {
    public fun start(command: StartCommand, onResult: (StartResult) -> Unit)

    public fun stop(command: StopCommand, onAcknowledged: (Boolean) -> Unit)

    public fun poll(request: PollRequest, onResult: (PollResult) -> Unit)
}
