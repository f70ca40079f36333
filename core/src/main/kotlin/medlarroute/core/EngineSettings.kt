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
 * @property maxQueueWaitRatio largest predicted wait before a job runs, as a part of its timeout.
 * @property admissionMargin largest predicted time until a job ends, as a part of its timeout.
 * @property longBackendShare part of the backend servers on which long work may run.
 * @property ageing weight of one second of waiting relative to one second of remaining work of a job.
 * @property ejectAfterFailures failed tasks in a row after which a backend server is ejected.
 * @property ejectionMs time until an ejected backend server is probed; doubles with each failed probe.
 * @property maxEjectionMs longest time between two probes.
 * @property slotShare part of the slots of a backend server that this instance may use if others use them too.
 * @property disabled mechanisms that are switched off, for measurements.
 */
@Serializable
public data class EngineSettings(
    @Setting("")
    public val failureDomain: String = "local",
    @Setting("Most tasks of one job", min = 1.0)
    public val maxTasksPerJob: Int = 110,
    @Setting("Jobs that this instance holds at once", min = 1.0)
    public val maxOpenJobs: Int = 20_000,
    @Setting("Jobs of one caller that this instance holds at once; a rule may set another value", min = 1.0)
    public val maxOpenJobsPerCaller: Int = 1_000,
    @Setting("Timeout of a job that names none", min = 1.0)
    public val defaultTimeoutMs: Long = 10_000,
    @Setting("Longest timeout of a job; a rule may set a shorter one for a kind", min = 1.0)
    public val maxTimeoutMs: Long = 60_000,
    @Setting("Repeated sends allowed for each first send", max = 1.0)
    public val retryBudgetRatio: Double = 0.1,
    @Setting("How long the lease of a task lasts beyond the deadline of its job")
    public val leaseMarginMs: Long = 500,
    @Setting("Part of a job's timeout that it may be predicted to wait before it runs", max = 1.0)
    public val maxQueueWaitRatio: Double = 0.3,
    @Setting("Part of a job's timeout within which it must be predicted to end", max = 1.0)
    public val admissionMargin: Double = 0.8,
    @Setting("Part of the backend servers on which long work may run", max = 1.0)
    public val longBackendShare: Double = 0.5,
    @Setting("How much a second of waiting counts against a second of remaining work of a job")
    public val ageing: Double = 0.6,
    @Setting("Failed tasks in a row after which a backend server is ejected", min = 1.0)
    public val ejectAfterFailures: Int = 3,
    @Setting("Time until an ejected backend server is probed; doubles with each failed probe", min = 1.0)
    public val ejectionMs: Long = 2_000,
    @Setting("Longest time between two probes of an ejected backend server", min = 1.0)
    public val maxEjectionMs: Long = 60_000,
    @Setting("Part of the slots of a backend server that this instance may use if others use them too", max = 1.0)
    public val slotShare: Double = 0.3,
    @Setting("Mechanisms that are switched off, for measurements only")
    public val disabled: Set<Mechanism> = emptySet(),
)

/** A part of the scheduling policy that can be disabled for measurements. */
public enum class Mechanism {
    /** Backend servers are ranked by their measured speed. */
    SPEED,

    /** Long work runs on a part of the backend servers only. */
    LONG_SEPARATION,

    /** Declared run times are used as far as they predict the actual ones. */
    DECLARED,

    /** Jobs with the least remaining work go first; without it, the oldest. */
    ORDER,

    /** Jobs that are predicted to miss their deadline are refused. */
    ADMISSION,

    /** Jobs of teams above their quota are refused, or queued behind those of teams within it if slots are spare. */
    QUOTAS,

    /** The load that backend servers report is used to estimate their free slots. */
    USAGE,

    /** An instance uses only a part of the slots of a backend server that other instances also use. */
    SLOT_SHARES,

    /** Starts on backend servers whose free slots are estimated, not reported, are limited. */
    PROBE_BUDGET,

    /** Backend servers in the own failure domain are preferred. */
    LOCALITY,

    /** Backend servers whose tasks fail get no tasks for a while. */
    EJECTION,

    /** New and returning backend servers get few tasks at first. */
    SLOW_START,

    /** A backend server that replied busy gets no tasks for a while. */
    BACK_OFF,

    /** Repeated sends are limited to a fraction of the first sends. */
    RETRY_BUDGET,
}
