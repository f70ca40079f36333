package medlarroute.dispatch

import kotlin.time.TimeSource

/**
 * Keeps recent results for instances whose connection broke before they received them. Bounded in time and number.
 *
 * Each result is stored with the name of its job, since a restarted instance numbers its requests from 1 again.
 */
internal class RecentResults(clock: TimeSource.WithComparableMarks) {
    private class Recorded(val job: JobId, val result: JobResult, val atMs: Long)

    private val elapsed = ElapsedClock(clock)
    private val results = LinkedHashMap<JobOrigin, Recorded>()

    fun record(request: JobOrigin, job: JobId, result: JobResult) {
        val nowMs = elapsed.nowMs()
        results[request] = Recorded(job, result, nowMs)
        val oldest = results.entries.iterator()
        while (oldest.hasNext()) {
            val isDue = results.size > MAX_RESULTS || nowMs - oldest.next().value.atMs > RETENTION_MS
            if (!isDue) return
            oldest.remove()
        }
    }

    fun find(request: JobOrigin, job: JobId): JobResult? = results[request]?.takeIf { it.job == job }?.result

    private companion object {
        const val MAX_RESULTS = 10_000

        /** A broken connection between instances is replaced within a second. */
        const val RETENTION_MS = 3_000L
    }
}
