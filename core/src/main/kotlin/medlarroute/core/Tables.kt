package medlarroute.core

import kotlin.time.Duration

/** State of a task within its job. */
internal enum class TaskState { QUEUED, STARTED, DONE, FAILED, LOST }

/** Row of the task table. Times are elapsed times of the engine. */
internal class TaskRow(val id: TaskId, val job: JobRow, val spec: TaskSpec) {
    var state = TaskState.QUEUED
    var backend: BackendRow? = null
    var startedAt = Duration.ZERO
    var sends = 0
    var output: String? = null

    /** True once a start may have reached a backend server and nothing proved the opposite. */
    var mayHaveRun = false
}

/** Row of the job table. */
internal class JobRow(val spec: Job, val team: TeamId, val arrivedAt: Duration) {
    val deadline: Duration = arrivedAt + spec.timeout
    val tasks: List<TaskRow> =
        spec.tasks.mapIndexed { index, task -> TaskRow(TaskId(spec.submission, index), this, task) }
    var openTasks = tasks.size
    var admitted = false
    var outcome: Answer? = null

    val mayHaveRun: Boolean get() = tasks.any { it.mayHaveRun }
}

/** Row of the backend server table. */
internal class BackendRow(var info: BackendServer) {
    var leaving = false
    var outstanding = 0
    val started = LinkedHashSet<TaskRow>()

    val id: BackendId get() = info.id
}

/** All state of the engine. Owned by the engine's thread. */
internal class Tables {
    val jobs = LinkedHashMap<SubmissionId, JobRow>()
    val backends = LinkedHashMap<BackendId, BackendRow>()
    val openJobsByCaller = HashMap<CallerId, Int>()
    var rules: Rules? = null
    var shares: Map<TeamId, Double> = emptyMap()

    fun taskOrNull(id: TaskId): TaskRow? = jobs[id.submission]?.tasks?.getOrNull(id.index)

    fun addJob(row: JobRow) {
        jobs[row.spec.submission] = row
        openJobsByCaller.merge(row.spec.caller, 1, Int::plus)
    }

    fun removeJob(row: JobRow) {
        jobs.remove(row.spec.submission)
        openJobsByCaller.computeIfPresent(row.spec.caller) { _, count -> (count - 1).takeIf { it > 0 } }
    }
}
