package medlarroute.dispatch

/**
 * Times and limits of the dispatcher. All times are in milliseconds.
 *
 * @property leaseMs lease of the runs on a backend server. Shorter than the platform's maximum of 1,000 ms, so that
 *   the runs of a dead owner end soon; longer than two waits of a look, so that one lost look lets nothing lapse.
 * @property lookWaitMs how long a look waits for an end.
 * @property lookTimeoutMs time beyond [lookWaitMs] after which a look counts as lost: several round trips on a slow
 *   machine.
 * @property orderValidityMs validity of a start order. Orders that arrive seconds late are refused by it.
 * @property unknownRunGraceMs how long a run without a job may go on: time for the instance that holds the job to
 *   resubmit it after the owner died.
 * @property unknownDoneMs how long a good end without a job is kept for a resubmission.
 * @property hangMs a run without any progress for so long counts as hung.
 * @property ejectMs first ejection of a backend server that fails in a row; doubles each time.
 * @property maxEjectMs longest ejection.
 * @property overheadMs time between a caller's first byte and a start, and between an end and the caller's last byte.
 * @property clockDrift by how much a backend server's clock may be slow.
 * @property maxOpenJobs jobs that may be open at once; bounds memory.
 */
public data class DispatchSettings(
    val leaseMs: Long = 700,
    val lookWaitMs: Long = 250,
    val lookTimeoutMs: Long = 150,
    val orderValidityMs: Long = 200,
    val unknownRunGraceMs: Long = 300,
    val unknownDoneMs: Long = 2_000,
    val hangMs: Long = 450,
    val ejectMs: Long = 1_500,
    val maxEjectMs: Long = 8_000,
    val overheadMs: Long = 12,
    val clockDrift: Double = 0.02,
    val maxOpenJobs: Int = 5_000,
)
