package medlarroute.dispatch

/**
 * Corrects predicted waiting times by measured ones.
 *
 * The raw prediction divides the queued work by the work rate of all backend servers. Fragmented capacity, stragglers
 * and backend servers that are slower than estimated make the actual wait longer by a factor that changes slowly.
 */
internal class WaitEstimator {
    private var factor = 1.0

    fun correctedMs(rawMs: Double): Double = rawMs * factor

    /** Records that the last task of a job started after [waitedMs], where the raw prediction was [rawMs]. */
    fun record(rawMs: Double, waitedMs: Long) {
        if (rawMs < MIN_PREDICTED_MS) return
        val ratio = (waitedMs / rawMs).coerceIn(MIN_FACTOR, MAX_FACTOR)
        factor += (ratio - factor) * SAMPLE_WEIGHT
    }

    private companion object {
        /** Shorter waits are dominated by network round trips. */
        const val MIN_PREDICTED_MS = 10.0
        const val MIN_FACTOR = 0.3
        const val MAX_FACTOR = 4.0

        /** Weight of one measurement; about the last 20 jobs that waited count. */
        const val SAMPLE_WEIGHT = 0.05
    }
}
