package medlarroute.dispatch

import kotlin.time.TimeSource

/** Results of the last seconds, for an instance whose connection broke before it got one. Bounded. */
internal class RecentResults(clock: TimeSource.WithComparableMarks) {
    private class Recorded(val result: JobResult, val atMs: Long)

    private val origin = clock.markNow()
    private val results = LinkedHashMap<JobOrigin, Recorded>()

    fun record(request: JobOrigin, result: JobResult) {
        val nowMs = origin.elapsedNow().inWholeMilliseconds
        results[request] = Recorded(result, nowMs)
        val oldest = results.entries.iterator()
        while (oldest.hasNext()) {
            val isDue = results.size > MOST || nowMs - oldest.next().value.atMs > KEPT_MS
            if (!isDue) return
            oldest.remove()
        }
    }

    fun find(request: JobOrigin): JobResult? = results[request]?.result

    private companion object {
        const val MOST = 10_000

        /** A broken connection between instances is replaced within a second. */
        const val KEPT_MS = 3_000L
    }
}
