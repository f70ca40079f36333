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
)
