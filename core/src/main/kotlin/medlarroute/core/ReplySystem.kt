package medlarroute.core

import kotlin.time.Duration.Companion.milliseconds

/** Takes in replies of backend servers. Replies for tasks that are not started, or not any more, are ignored. */
internal class ReplySystem(private val settings: EngineSettings, private val tables: Tables) {
    private var firstSends = 0L
    private var repeatedSends = 0L

    fun done(reply: Input.TaskDone) {
        val task = release(reply.task) ?: return
        task.state = TaskState.DONE
        task.output = reply.output
        task.job.openTasks--
    }

    fun failed(reply: Input.TaskFailed) {
        val task = release(reply.task) ?: return
        task.state = TaskState.FAILED
        fail(task.job, Answer.Failed(FailureCode.TASK_FAILED, "task ${task.id.index}: ${reply.message}"))
    }

    fun lost(reply: Input.TaskLost) {
        val task = release(reply.task) ?: return
        task.state = TaskState.LOST
        fail(task.job, Answer.Failed(FailureCode.TASK_LOST, "task ${task.id.index}: ${reply.message}"))
    }

    fun notStarted(reply: Input.TaskNotStarted) {
        val task = release(reply.task) ?: return
        task.state = TaskState.QUEUED
        task.mayHaveRun = false
        if (task.sends == 1) firstSends++ else repeatedSends++
        // A retry budget keeps an outage of many backend servers from multiplying the load on the others.
        if (repeatedSends <= firstSends * settings.retryBudgetRatio + MIN_RETRIES) return
        val message = "no backend server took the task within the retry budget"
        fail(task.job, overload(task, message))
    }

    private fun overload(task: TaskRow, message: String): Answer =
        if (task.job.mayHaveRun) {
            Answer.Failed(FailureCode.TASK_LOST, "task ${task.id.index}: $message")
        } else {
            Answer.Refused(listOf(Refusal(RefusalCode.OVERLOAD, "tasks[${task.id.index}]", message)), RETRY_AFTER)
        }

    private fun release(id: TaskId): TaskRow? {
        val task = tables.taskOrNull(id)?.takeIf { it.state == TaskState.STARTED } ?: return null
        val backend = task.backend ?: return null
        backend.started.remove(task)
        backend.outstanding--
        task.backend = null
        return task
    }

    private fun fail(job: JobRow, answer: Answer) {
        if (job.outcome == null) job.outcome = answer
    }

    private companion object {
        /** Repeated sends that are always allowed, so that a small load can retry at all. */
        const val MIN_RETRIES = 100
        val RETRY_AFTER = 100.milliseconds
    }
}
