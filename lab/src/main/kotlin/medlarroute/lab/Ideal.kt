package medlarroute.lab

import java.util.PriorityQueue

/**
 * Clairvoyant lower bound: knows true run times and speeds, is pooled over all instances and needs no messages.
 *
 * For each job, `alone` is the optimal time with the whole empty cluster to itself when tasks may be interrupted and
 * moved: the maximum over k of (work of the k longest tasks) / (speed of the k fastest slots), because at most k slots
 * can work on k tasks. No schedule answers the job faster. `pooled` adds contention: the cluster becomes one machine of
 * the total speed that serves the job with the least remaining work first. That rule minimises the mean response time
 * of such a machine, and every real schedule is also a schedule of that machine, so the mean of `pooled` is a lower
 * bound on the mean of any policy. The response time reported as ideal is the larger of the two for each job.
 */
internal class Ideal(scenario: Scenario) {
    private val jobs = scenario.jobs
    private val capacity = scenario.capacity
    private val slotSpeeds = scenario.speeds.sortedDescending().flatMap { speed -> List(ClusterSize.SLOTS) { speed } }

    /** Lower bound for each job on its own, in nanoseconds. */
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

    private class Remaining(val job: SimJob, var workNs: Double)

    private fun pooled(): LongArray {
        val responses = LongArray(jobs.size)
        val active = PriorityQueue<Remaining>(compareBy { it.workNs })
        var nowNs = 0.0
        for (next in jobs.indices) {
            val untilNs = jobs[next].arrivalNs.toDouble()
            nowNs = serve(active, nowNs, untilNs, responses)
            active += Remaining(jobs[next], jobs[next].sizesNs.sum().toDouble())
        }
        serve(active, nowNs, Double.MAX_VALUE, responses)
        return responses
    }

    private fun serve(active: PriorityQueue<Remaining>, fromNs: Double, untilNs: Double, out: LongArray): Double {
        var nowNs = fromNs
        while (active.isNotEmpty()) {
            val first = active.remove()
            val endNs = nowNs + first.workNs / capacity
            if (endNs > untilNs) {
                first.workNs -= (untilNs - nowNs) * capacity
                active += first
                break
            }
            nowNs = endNs
            out[first.job.number] = (endNs - first.job.arrivalNs).toLong()
        }
        return if (untilNs == Double.MAX_VALUE) nowNs else untilNs
    }
}
