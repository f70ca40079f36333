package medlarroute.lab

import java.util.PriorityQueue

/**
 * Clairvoyant lower bound on response times: it knows the actual run times and speeds, schedules for all instances
 * together and exchanges no messages.
 *
 * For each job, `alone` is the optimal response time in an otherwise empty cluster with preemption and migration of
 * tasks: the maximum over k of (work of the k longest tasks) / (speed of the k fastest slots), because at most k slots
 * can work on k tasks. No schedule completes the job faster. `pooled` takes contention into account: it models the
 * cluster as a single machine with the total speed of all slots that serves jobs in order of shortest remaining
 * processing time. This order minimises the mean response time on such a machine, and every real schedule is also a
 * schedule of that machine, so the mean of `pooled` is a lower bound on the mean of any policy. The response time
 * reported as ideal is the maximum of the two for each job.
 */
internal class IdealBound(trace: WorkloadTrace) {
    private val jobs = trace.jobs
    private val capacity = trace.capacity
    private val slotSpeeds = trace.speeds.sortedDescending().flatMap { speed -> List(ClusterSize.SLOTS) { speed } }

    /** Lower bound for each job in an otherwise empty cluster, in nanoseconds. */
    val aloneNs: LongArray = LongArray(jobs.size) { alone(jobs[it].sizesNs) }

    private val pooledNs: LongArray = pooled()

    /** Ideal response time of each job in nanoseconds. */
    val responseNs: LongArray = LongArray(jobs.size) { maxOf(aloneNs[it], pooledNs[it]) }

    private fun alone(sizesNs: LongArray): Long {
        var work = 0.0
        var speed = 0.0
        var bound = 0.0
        sizesNs.sortedDescending().forEachIndexed { index, sizeNs ->
            work += sizeNs
            speed += slotSpeeds.getOrElse(index) { 0.0 }
            bound = maxOf(bound, work / speed)
        }
        return bound.toLong()
    }

    private class ActiveJob(val job: TraceJob, var remainingNs: Double)

    private fun pooled(): LongArray {
        val responses = LongArray(jobs.size)
        val active = PriorityQueue<ActiveJob>(compareBy { it.remainingNs })
        var nowNs = 0.0
        for (next in jobs.indices) {
            val untilNs = jobs[next].arrivalNs.toDouble()
            nowNs = serve(active, nowNs, untilNs, responses)
            active += ActiveJob(jobs[next], jobs[next].sizesNs.sum().toDouble())
        }
        serve(active, nowNs, Double.MAX_VALUE, responses)
        return responses
    }

    /**
     * Runs the single machine from [fromNs] until [untilNs] and writes the response times of the jobs that complete to
     * [out]. Returns the time reached.
     */
    private fun serve(active: PriorityQueue<ActiveJob>, fromNs: Double, untilNs: Double, out: LongArray): Double {
        var nowNs = fromNs
        while (active.isNotEmpty()) {
            val first = active.remove()
            val endNs = nowNs + first.remainingNs / capacity
            if (endNs > untilNs) {
                first.remainingNs -= (untilNs - nowNs) * capacity
                active += first
                break
            }
            nowNs = endNs
            out[first.job.number] = (endNs - first.job.arrivalNs).toLong()
        }
        return if (untilNs == Double.MAX_VALUE) nowNs else untilNs
    }
}
