package medlarroute.core

/** Emits the one answer of each job that has ended and stops what still runs of it. */
internal class AnswerSystem(private val tables: Tables) {
    fun run(effects: MutableList<Effect>) {
        val ended = tables.jobs.values.filter { it.outcome != null || it.openTasks == 0 }
        for (job in ended) {
            effects += Effect.Answered(job.spec.submission, job.outcome ?: complete(job))
            job.tasks.forEach { stop(it, effects) }
            tables.removeJob(job)
        }
    }

    private fun complete(job: JobRow): Answer = Answer.Complete(job.tasks.map { checkNotNull(it.output) })

    private fun stop(task: TaskRow, effects: MutableList<Effect>) {
        val backend = task.backend ?: return
        backend.started.remove(task)
        backend.outstanding--
        effects += Effect.Stop(task.id, backend.id)
    }
}
