package medlarroute.dispatch

import kotlinx.serialization.Serializable

/**
 * The loss of a backend server while a run of a task may have been active there: a crash, unless [isRefuted].
 *
 * @property incarnation the process, see [BackendInfo.incarnation].
 * @property wasAlone whether no other run was active there, so that the task is the likely cause.
 * @property isJoint whether many backend servers were lost at the same moment, so that no task is the likely cause.
 * @property isProven whether the process has ended as far as is known. Otherwise it is only silent.
 * @property isRefuted whether the process was reached again.
 * @property address where the process was reached, see [BackendInfo.address]. A process that replaces it may have
 *   another id.
 * @property isConfirmed whether the run was known to be active. Otherwise the process may have ended before its start
 *   or after its lease.
 * @property run the run that was lost. Once that is refuted, a later run may still be lost with the same process.
 */
@Serializable
public data class BackendCrash(
    public val backend: String,
    public val incarnation: Long,
    public val wasAlone: Boolean,
    public val isJoint: Boolean = false,
    public val isProven: Boolean = true,
    public val isRefuted: Boolean = false,
    public val address: String = "",
    public val run: Int = 0,
    public val isConfirmed: Boolean = true,
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
    /** Losses that are not refuted, so that each may have been a crash; one for each process. */
    public val possibleCrashes: List<BackendCrash>
        get() = crashes.filterNot { it.isRefuted }
            .groupBy { it.backend to it.incarnation }
            .map { (_, same) -> same.reduce(::combine) }

    /** Crashes of which there is evidence. */
    public val provenCrashes: List<BackendCrash> get() = possibleCrashes.filter { it.isProven }

    /**
     * Combines the knowledge of two instances. Commutative, associative and idempotent, so that the order and the
     * number of messages between instances do not matter.
     */
    public fun merge(other: TaskHistory): TaskHistory {
        val merged = (crashes + other.crashes)
            .groupBy { Triple(it.backend, it.incarnation, it.run) }
            .map { (_, same) -> same.reduce(::combine) }
            .sortedWith(compareBy({ it.backend }, { it.incarnation }, { it.run }))
        return TaskHistory(task, maxOf(failures, other.failures), merged)
    }

    private fun combine(one: BackendCrash, other: BackendCrash): BackendCrash = one.copy(
        wasAlone = one.wasAlone && other.wasAlone,
        isJoint = one.isJoint || other.isJoint,
        isProven = one.isProven || other.isProven,
        isRefuted = one.isRefuted || other.isRefuted,
        isConfirmed = one.isConfirmed || other.isConfirmed,
        address = maxOf(one.address, other.address),
    )
}
