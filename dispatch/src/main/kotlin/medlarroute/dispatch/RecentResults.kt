package medlarroute.dispatch

import kotlin.time.TimeSource

/**
 * Results of the last seconds, for an instance whose connection broke before it got one. Bounded.
 *
 * A result is kept with its job, since an instance that starts again numbers its requests from the beginning.
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
            val isDue = results.size > MOST || nowMs - oldest.next().value.atMs > KEPT_MS
            if (!isDue) return
            oldest.remove()
        }
    }

    fun find(request: JobOrigin, job: JobId): JobResult? = results[request]?.takeIf { it.job == job }?.result

    private companion object {
        const val MOST = 10_000

        /** A broken connection between instances is replaced within a second. */
        const val KEPT_MS = 3_000L
    }
}
