package medlarroute.dispatch

import kotlinx.serialization.Serializable

/**
 * The end of a backend server's process while a run of a task may have been active there.
 *
 * @property incarnation the process, see [BackendInfo.incarnation].
 * @property wasAlone whether no other run was active there and the backend server did not end together with others, so
 *   that the task is the likely cause.
 * @property isRefuted whether the process was reached again, so that it had only been cut off.
 */
@Serializable
public data class BackendCrash(
    public val backend: String,
    public val incarnation: Long,
    public val wasAlone: Boolean,
    public val isRefuted: Boolean = false,
)

/**
 * What is known of earlier runs of a task. It outlives the job and the owner that observed it, since a caller may
 * repeat the job and another owner may continue it.
 *
 * @property failures number of runs that have failed.
 */
@Serializable
public data class TaskHistory(
    public val task: TaskKey,
    public val failures: Int = 0,
    public val crashes: List<BackendCrash> = emptyList(),
) {
    /** Crashes that are not refuted. */
    public val activeCrashes: List<BackendCrash> get() = crashes.filterNot { it.isRefuted }

    /**
     * Combines the knowledge of two instances. Commutative, associative and idempotent, so that the order and the
     * number of messages between instances do not matter.
     */
    public fun merge(other: TaskHistory): TaskHistory {
        val merged = (crashes + other.crashes)
            .groupBy { it.backend to it.incarnation }
            .map { (_, same) -> same.reduce(::combine) }
            .sortedWith(compareBy({ it.backend }, { it.incarnation }))
        return TaskHistory(task, maxOf(failures, other.failures), merged)
    }

    private fun combine(one: BackendCrash, other: BackendCrash): BackendCrash = one.copy(
        wasAlone = one.wasAlone && other.wasAlone,
        isRefuted = one.isRefuted || other.isRefuted,
    )
}
