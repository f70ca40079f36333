package medlarroute.dispatch

/**
 * Corrects predicted waits by those that were measured.
 *
 * The prediction divides queued work by the work rate of all backend servers. Room that no task fits into, stragglers
 * and backend servers that are slower than known make the real wait longer, by a factor that changes slowly.
 */
internal class WaitEstimate {
    private var factor = 1.0

    fun correctedMs(rawMs: Double): Double = rawMs * factor

    /** A job whose wait was predicted as [rawMs] has started its last task after [waitedMs]. */
    fun record(rawMs: Double, waitedMs: Long) {
        if (rawMs < MIN_PREDICTED_MS) return
        val ratio = (waitedMs / rawMs).coerceIn(MIN_FACTOR, MAX_FACTOR)
        factor += (ratio - factor) * STEP
    }

    private companion object {
        /** Shorter waits are dominated by round trips. */
        const val MIN_PREDICTED_MS = 10.0
        const val MIN_FACTOR = 0.3
        const val MAX_FACTOR = 4.0

        /** About the last 20 jobs that waited. */
        const val STEP = 0.05
    }
}
