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
    public val failureDomain: String = "local",
    public val maxTasksPerJob: Int = 110,
    public val maxOpenJobs: Int = 20_000,
    public val maxOpenJobsPerCaller: Int = 1_000,
    public val defaultTimeoutMs: Long = 10_000,
    public val maxTimeoutMs: Long = 60_000,
    public val retryBudgetRatio: Double = 0.1,
    public val leaseMarginMs: Long = 500,
)
