package medlarroute.dispatch

/**
 * Starts a run of a task. The backend server rejects the command after [validUntilMs] on its own clock, or if it has
 * received a higher [token].
 *
 * @property run number of the run; it increases with each attempt at the task.
 */
public data class StartCommand(
    public val backend: BackendInfo,
    public val task: TaskKey,
    public val run: Int,
    public val payload: String,
    public val token: Long,
    public val validUntilMs: Long,
)

/** Result of a [StartCommand]. `clockMs` is the time on the backend server's clock. */
public sealed interface StartResult {
    /** The run was started. */
    public data class Started(val clockMs: Long) : StartResult

    /** The run was not started. */
    public data class Rejected(val reason: RejectReason, val clockMs: Long?) : StartResult

    /**
     * It is unknown whether the run was started.
     *
     * @property hasResponse whether the backend server has responded, if only with an error. Otherwise it may be
     *   healthy and the connection broken.
     */
    public data class Unknown(val reason: String, val hasResponse: Boolean = false) : StartResult
}

/** Why a run was not started. */
public enum class RejectReason {
    /** The backend server has received a higher token. */
    FENCED,

    /** The backend server has already received this run of the task or a later one. */
    OLD_RUN,

    /** The command arrived after the end of its validity. */
    EXPIRED,

    /** The backend server has not enough free capacity. */
    NO_ROOM,

    /** The backend server is unhealthy, or another process has its address. */
    UNAVAILABLE,

    /** The connection was refused: no process listens at the address. */
    REFUSED,

    /** The backend server can't run this task. */
    INVALID,
}

/** Stops a run. */
public data class StopCommand(
    public val backend: BackendInfo,
    public val task: TaskKey,
    public val run: Int,
    public val token: Long,
)

/**
 * Long poll of the state of a backend server. It also renews the lease of all runs there.
 *
 * @property leaseUntilMs end of the lease on the backend server's clock; null to leave the lease unchanged.
 * @property acknowledgedEnd the backend server discards ended runs up to this [RunEnd.number].
 * @property waitMs how long the backend server may wait for a run to end before it responds.
 */
public data class PollRequest(
    public val backend: BackendInfo,
    public val token: Long,
    public val leaseUntilMs: Long?,
    public val acknowledgedEnd: Long,
    public val waitMs: Long,
)

/** Result of a [PollRequest]. */
public sealed interface PollResult {
    /** State of the backend server at [clockMs] on its own clock. */
    public data class Report(
        val clockMs: Long,
        val incarnation: Long,
        val running: List<RunProgress>,
        val ended: List<RunEnd>,
    ) : PollResult

    /** The backend server has received a higher token from another instance. */
    public data object Fenced : PollResult

    /** The connection was refused: no process listens at the address, or a partition rejects connections. */
    public data object Refused : PollResult

    /**
     * The backend server has closed the connection instead of responding, as a process does that ends. A partition
     * can only reset connections.
     */
    public data object Closed : PollResult

    /** Another process listens at the address. */
    public data object Replaced : PollResult

    /** There was no usable response. */
    public data class Failed(val reason: String) : PollResult
}

/** A run that is active on a backend server, with its progress. */
public data class RunProgress(public val task: TaskKey, public val run: Int, public val donePercent: Int)

/** A run that has ended. [number] is a sequence number within one process of the backend server. */
public data class RunEnd(
    public val number: Long,
    public val task: TaskKey,
    public val run: Int,
    public val outcome: RunOutcome,
)

/** How a run ended. */
public enum class RunOutcome { DONE, FAILED, STOPPED, LEASE_EXPIRED, OTHER }

/** Sends commands and polls to backend servers. Each callback is called once, on the instance's event loop. */
public interface BackendCommands {
    public fun start(command: StartCommand, onResult: (StartResult) -> Unit)

    public fun stop(command: StopCommand, onAcknowledged: (Boolean) -> Unit)

    public fun poll(request: PollRequest, onResult: (PollResult) -> Unit)
}
