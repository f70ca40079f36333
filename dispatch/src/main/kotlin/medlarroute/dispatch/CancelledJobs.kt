package medlarroute.dispatch

/**
 * Names of jobs that were cancelled for all callers. Bounded in time and number.
 *
 * A copy of the request of such a job may arrive seconds later, and an instance may hand the job in at another owner.
 * Neither must start it again.
 */
internal class CancelledJobs {
    private val cancelledAtMs = LinkedHashMap<JobId, Long>()

    /** Returns false if the cancellation was known already. */
    fun add(job: JobId, nowMs: Long): Boolean {
        removeExpired(nowMs)
        return cancelledAtMs.putIfAbsent(job, nowMs) == null
    }

    operator fun contains(job: JobId): Boolean = job in cancelledAtMs

    fun all(nowMs: Long): List<JobId> {
        removeExpired(nowMs)
        return cancelledAtMs.keys.toList()
    }

    private fun removeExpired(nowMs: Long) {
        val oldest = cancelledAtMs.entries.iterator()
        while (oldest.hasNext()) {
            val isDue = cancelledAtMs.size >= MAX_JOBS || nowMs - oldest.next().value > RETENTION_MS
            if (!isDue) return
            oldest.remove()
        }
    }

    private companion object {
        const val MAX_JOBS = 5_000

        /** Copies of requests arrive within seconds, and an instance hands in no job after the caller's deadline. */
        const val RETENTION_MS = 30_000L
    }
}
