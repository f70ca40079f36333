package medlarroute.core

import kotlinx.serialization.Serializable

/**
 * Settings of the engine.
 *
 * @property failureDomain failure domain of this instance.
 * @property maxOpenJobs jobs that this instance holds at once.
 * @property maxOpenJobsPerCaller jobs of one caller that this instance holds at once; a rule may set another value.
 * @property retryBudgetRatio repeated sends allowed per first send.
 * @property leaseMarginMs how long a lease lasts beyond the job's deadline.
 * @property maxQueueWaitRatio part of a job's timeout that it may be predicted to wait before it runs.
 * @property admissionMargin part of a job's timeout within which it must be predicted to end.
 * @property longBackendShare part of the backend servers on which long work may run.
 * @property ageing how much one second of waiting counts against one second of remaining work of a job.
 * @property ejectAfterFailures failed tasks in a row after which a backend server is ejected.
 * @property ejectionMs time until an ejected backend server is probed; doubles with each failed probe.
 * @property maxEjectionMs longest time between two probes.
 * @property slotShare part of the slots of a backend server that this instance may use if others use them too.
 * @property disabled mechanisms that are switched off, for measurements.
 */
@Serializable
public data class EngineSettings(
    public val failureDomain: String = "local",
    public val maxTasksPerJob: Int = 110,
    public val maxOpenJobs: Int = 20_000,
    public val maxOpenJobsPerCaller: Int = 1_000,
    public val defaultTimeoutMs: Long = 10_000,
    public val maxTimeoutMs: Long = 60_000,
    public val retryBudgetRatio: Double = 0.1,
    public val leaseMarginMs: Long = 500,
    public val maxQueueWaitRatio: Double = 0.3,
    public val admissionMargin: Double = 0.8,
    public val longBackendShare: Double = 0.5,
    public val ageing: Double = 0.6,
    public val ejectAfterFailures: Int = 3,
    public val ejectionMs: Long = 2_000,
    public val maxEjectionMs: Long = 60_000,
    public val slotShare: Double = 0.3,
    public val disabled: Set<Mechanism> = emptySet(),
)

/** A part of the policy that a measurement can switch off. */
public enum class Mechanism {
    /** Backend servers are ranked by their measured speed. */
    SPEED,

    /** Long work runs on a part of the backend servers only. */
    LONG_SEPARATION,

    /** Declared run times are used as far as they predict the measured ones. */
    DECLARED,

    /** Jobs with the least remaining work go first; without it, the oldest. */
    ORDER,

    /** Jobs that would miss their deadline are refused. */
    ADMISSION,

    /** Teams above their quota yield to those within it. */
    QUOTAS,

    /** The load that backend servers report is used to estimate their free slots. */
    USAGE,

    /** An instance takes only a part of the slots of a backend server that others use, too. */
    SLOT_SHARES,

    /** Starts on backend servers whose free slots are presumed, not known, are limited. */
    PROBE_BUDGET,

    /** The own failure domain is preferred. */
    LOCALITY,

    /** Backend servers that fail their tasks get none for a while. */
    EJECTION,

    /** New and returning backend servers get few tasks at first. */
    SLOW_START,

    /** A backend server that was busy is left alone for a while. */
    BACK_OFF,

    /** Repeated sends are limited to a fraction of the first sends. */
    RETRY_BUDGET,
}
