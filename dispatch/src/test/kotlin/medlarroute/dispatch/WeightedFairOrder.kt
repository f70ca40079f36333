package medlarroute.dispatch

/** Self-clocked fair queueing by work with weights by priority: a job's tag is the work of its queue up to it. */
internal class WeightedFairOrder : Comparator<JobRow> {
    private val tags = HashMap<JobId, Double>()
    private val lastTags = HashMap<QueueId, Double>()
    private var virtualTime = 0.0

    private fun tag(job: JobRow): Double {
        val tag = tags.getOrPut(job.request.id) {
            val start = maxOf(virtualTime, lastTags[job.queue.id] ?: 0.0)
            (start + job.queuedWork() / WEIGHTS[job.queue.priority]).also { lastTags[job.queue.id] = it }
        }
        if (job.everDispatched) virtualTime = maxOf(virtualTime, tag)
        return tag
    }

    override fun compare(first: JobRow, second: JobRow): Int = when {
        first.everDispatched != second.everDispatched -> if (first.everDispatched) -1 else 1
        else -> tag(first).compareTo(tag(second))
    }

    private companion object {
        val WEIGHTS = listOf(4.0, 2.0, 1.0)
    }
}
