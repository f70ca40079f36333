package medlarroute.dispatch

/**
 * Estimates the clock of a process of a backend server from the times in its reports. The estimate is never later than
 * the clock: a report may be read long after it was written, and the clock may run slow by [maxDrift], a fraction.
 */
internal class BackendClock(private val maxDrift: Double) {
    private var offsetMs = 0L
    private var observedAtMs = NEVER_MS

    /** A report with the time [clockMs] is read at [nowMs] of the dispatcher's clock. */
    fun observe(clockMs: Long, nowMs: Long) {
        val estimateMs = estimateMs(nowMs)
        if (estimateMs != null && clockMs < estimateMs) return
        offsetMs = clockMs - nowMs
        observedAtMs = nowMs
    }

    /** The clock at [nowMs] of the dispatcher's clock; null before the first report. */
    fun estimateMs(nowMs: Long): Long? {
        if (observedAtMs == NEVER_MS) return null
        val driftMs = ((nowMs - observedAtMs) * maxDrift).toLong()
        return nowMs + offsetMs - driftMs
    }

    /** Another process has taken the place of the observed one. */
    fun reset() {
        observedAtMs = NEVER_MS
    }
}
