package medlarroute.core

/** Applies the replies of backend servers. Replies for tasks that are not currently started are ignored. */
internal class ReplySystem(
    private val tables: Tables,
    private val pool: BackendPool,
    private val backends: BackendSystem,
    private val placement: PlacementSystem,
) {
    fun done(reply: Input.TaskDone, nowNs: Long) {
        val task = startedOrNull(reply.task) ?: return
        val backend = release(task)
        task.state = TaskState.DONE
        task.output = reply.output
        recordRunTime(task, backend, reply.runTime.toNs().toDouble())
        pool.recordUsage(backend, reply.usage, nowNs)
        backends.succeeded(backend, nowNs)
        backends.forgetIfIdle(backend)
        if (--task.job.openTasks == 0) tables.end(task.job, null)
    }

    fun failed(reply: Input.TaskFailed, nowNs: Long) {
        val task = startedOrNull(reply.task) ?: return
        val backend = release(task)
        task.state = TaskState.FAILED
        pool.recordUsage(backend, reply.usage, nowNs)
        countFailure(task, backend, nowNs)
        end(task, Answer.Failed(FailureCode.TASK_FAILED, "task ${task.id.index}: ${reply.message}"))
    }

    fun lost(reply: Input.TaskLost, nowNs: Long) {
        val task = startedOrNull(reply.task) ?: return
        val backend = release(task)
        task.state = TaskState.LOST
        countFailure(task, backend, nowNs)
        end(task, Answer.Failed(FailureCode.TASK_LOST, "task ${task.id.index}: ${reply.message}"))
    }

    fun notStarted(reply: Input.TaskNotStarted, nowNs: Long) {
        val task = startedOrNull(reply.task) ?: return
        val backend = release(task)
        task.state = TaskState.QUEUED
        task.mayHaveRun = false
        placement.requeue(task)
        when (reply.reason) {
            NotStartedReason.BUSY -> pool.recordBusy(backend, nowNs)
            NotStartedReason.LEAVING -> backends.leaving(backend.id, nowNs)
            NotStartedReason.NOT_DELIVERED -> backends.failed(backend, tables.kinds.of(task.job.spec.kind), nowNs)
            NotStartedReason.STALE -> Unit
        }
        backends.notStarted(backend, nowNs)
        pool.update(backend, nowNs)
        backends.forgetIfIdle(backend)
    }

    private fun recordRunTime(task: TaskRow, backend: BackendRow, runNs: Double) {
        val kind = tables.kinds.of(task.job.spec.kind)
        val declaredNs = task.spec.declaredRunTime?.toNs()
        if (kind.isKnown) pool.recordSpeed(backend, kind.expectedLog(declaredNs), runNs)
        val normalNs = runNs * pool.speed(backend)
        kind.record(normalNs, declaredNs)
        tables.kinds.all.record(normalNs, null)
    }

    private fun countFailure(task: TaskRow, backend: BackendRow, nowNs: Long) {
        val kind = tables.kinds.of(task.job.spec.kind)
        kind.recordFailure()
        backends.failed(backend, kind, nowNs)
        backends.forgetIfIdle(backend)
    }

    private fun end(task: TaskRow, answer: Answer) = tables.end(task.job, answer)

    private fun startedOrNull(id: TaskId): TaskRow? =
        tables.taskOrNull(id)?.takeIf { it.state == TaskState.STARTED && it.backend != null }

    private fun release(task: TaskRow): BackendRow {
        val backend = checkNotNull(task.backend)
        pool.released(backend)
        task.backend = null
        return backend
    }
}
