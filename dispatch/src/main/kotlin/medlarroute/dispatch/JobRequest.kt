package medlarroute.dispatch

import kotlinx.serialization.Serializable

/**
 * One step of a job: tasks that may run at the same time.
 *
 * @property estimateMs the caller's rough estimate of the run time of one task; 0 if there is none.
 * @property after indices of the steps whose tasks must all be done before the first task of this one starts.
 * @property requiredLabel label that a backend server must have.
 * @property preferredRack label of the rack that holds the data; on other racks the tasks run slower.
 * @property maxPerBackend maximum number of tasks of the step on one backend server at a time; null for no limit.
 */
@Serializable
public data class StepRequest(
    public val taskCount: Int,
    public val demand: Resources,
    public val estimateMs: Long = 0,
    public val after: List<Int> = emptyList(),
    public val requiredLabel: String? = null,
    public val preferredRack: String? = null,
    public val maxPerBackend: Int? = null,
)

/** A job as its caller submitted it. [payload] is passed to each task without being parsed. */
@Serializable
public data class JobRequest(
    public val id: JobId,
    public val queue: QueueId,
    public val payload: String,
    public val steps: List<StepRequest>,
) {
    internal fun tasks(): Sequence<TaskKey> = steps.asSequence().flatMapIndexed { number, step ->
        (0 until step.taskCount).asSequence().map { TaskKey(id, number, it) }
    }
}
