package medlarroute.core

/** Emits the answer of each ended job, exactly once, and stops its tasks that still run. */
internal class AnswerSystem(
    private val tables: Tables,
    private val pool: BackendPool,
    private val backends: BackendSystem,
    private val placement: PlacementSystem,
) {
    fun run(nowNs: Long, effects: MutableList<Effect>) {
        for (job in tables.endedJobs) {
            effects += Effect.Answered(job.spec.submission, job.outcome ?: complete(job))
            placement.discard(job)
            job.tasks.forEach { stop(it, nowNs, effects) }
            tables.removeJob(job)
        }
        tables.endedJobs.clear()
    }

    private fun complete(job: JobRow): Answer = Answer.Complete(job.tasks.map { checkNotNull(it.output) })

    private fun stop(task: TaskRow, nowNs: Long, effects: MutableList<Effect>) {
        val backend = task.backend ?: return
        task.backend = null
        pool.released(backend)
        pool.update(backend, nowNs)
        backends.forgetIfIdle(backend)
        effects += Effect.Stop(task.id, backend.id)
    }
}
