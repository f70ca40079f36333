package medlarroute.dispatch

import kotlinx.serialization.Serializable

/**
 * A queue as configured by the operators.
 *
 * @property host, pathPrefix select the callers' requests that belong to the queue.
 * @property priority 0 is the highest.
 * @property maxAttempts number of failed runs of one task after which its job has failed.
 * @property stretch, objectiveMs a job is in time if it ends within [stretch] times its critical path (the run time of
 *   its longest chain of steps) plus [objectiveMs].
 * @property needsAdvice whether a policy service decides which backend servers may run its steps.
 */
@Serializable
public data class QueueSettings(
    public val id: QueueId,
    public val host: String,
    public val pathPrefix: String,
    public val service: ServiceId,
    public val priority: Int,
    public val maxAttempts: Int,
    public val stretch: Double,
    public val objectiveMs: Long,
    public val needsAdvice: Boolean = false,
)

/** A service. With [rejectsOverload], its backend servers reject a start that exceeds their capacity. */
@Serializable
public data class ServiceSettings(public val id: ServiceId, public val rejectsOverload: Boolean)

/** Limits on the requests of callers. */
@Serializable
public data class RequestLimits(public val headerBytes: Int, public val bodyBytes: Int, public val idleTimeoutMs: Long)

/** The complete configuration by the operators. A higher [version] replaces a lower one. */
@Serializable
public data class DispatchConfiguration(
    public val version: Long,
    public val queues: List<QueueSettings>,
    public val services: List<ServiceSettings>,
    public val limits: RequestLimits,
) {
    private val queuesById by lazy { queues.associateBy { it.id } }
    private val servicesById by lazy { services.associateBy { it.id } }
    private val queuesByHost by lazy {
        queues.groupBy { it.host }.mapValues { (_, queues) -> queues.sortedByDescending { it.pathPrefix.length } }
    }

    public fun queueOrNull(id: QueueId): QueueSettings? = queuesById[id]

    public fun serviceOrNull(id: ServiceId): ServiceSettings? = servicesById[id]

    /** The queue of [host] whose path prefix is the longest that matches [path]. */
    public fun queueOrNull(host: String, path: String): QueueSettings? =
        queuesByHost[host]?.firstOrNull { path.startsWith(it.pathPrefix) }
}
