package medlarroute.core

/**
 * Limits speculative starts: starts on backend servers whose free slots are estimated, not reported.
 *
 * A busy reply comes back within a round trip, so a round without one shows that its starts were accepted. While there
 * are no busy replies, the allowed number of speculative starts doubles from one round to the next. Each busy reply
 * halves it and pauses all speculative starts; the pause is longer the fewer starts were accepted before. So a fully
 * loaded cluster costs few messages, and a cluster with free slots a few milliseconds of delay.
 */
internal class SpeculativeStartLimiter {
    private var window = FIRST_WINDOW
    private var roundStartNs = NEVER_NS
    private var startsInRound = 0
    private var busyInRound = 0

    /** Binary logarithm of the next pause in units of [FIRST_PAUSE_NS]. */
    private var pauseDoublings = 0.0
    private var pausedUntilNs = NEVER_NS

    /** Counts one speculative start; false if none is allowed now. */
    fun tryAcquire(nowNs: Long): Boolean {
        if (nowNs < pausedUntilNs) return false
        if (nowNs - roundStartNs >= ROUND_NS) nextRound(nowNs)
        if (startsInRound >= window) return false
        startsInRound++
        return true
    }

    private fun nextRound(nowNs: Long) {
        if (busyInRound == 0 && startsInRound >= window) window = (window * 2).coerceAtMost(MAX_WINDOW)
        pauseDoublings = (pauseDoublings - (startsInRound - busyInRound) * PAUSE_STEP).coerceAtLeast(0.0)
        roundStartNs = nowNs
        startsInRound = 0
        busyInRound = 0
    }

    /** [startIntervalNs] is the mean time between two starts of this instance. */
    fun recordBusy(nowNs: Long, startIntervalNs: Double) {
        busyInRound++
        window = (window / 2).coerceAtLeast(1)
        val maxPauseNs = (startIntervalNs * STARTS_PER_BUSY).toLong().coerceIn(FIRST_PAUSE_NS, MAX_PAUSE_NS)
        val pauseNs = (FIRST_PAUSE_NS shl pauseDoublings.toInt()).coerceAtMost(maxPauseNs)
        pausedUntilNs = maxOf(pausedUntilNs, nowNs + pauseNs)
        pauseDoublings = (pauseDoublings + 1).coerceAtMost(MAX_DOUBLINGS)
    }

    /** Time at which speculative starts are allowed again; null if they are allowed now. */
    fun nextAllowedNs(nowNs: Long): Long? =
        when {
            nowNs < pausedUntilNs -> pausedUntilNs
            startsInRound >= window && nowNs - roundStartNs < ROUND_NS -> roundStartNs + ROUND_NS
            else -> null
        }

    private companion object {
        const val FIRST_WINDOW = 8
        const val MAX_WINDOW = 64
        const val ROUND_NS = 3 * NS_PER_MS / 2
        const val FIRST_PAUSE_NS = 2 * NS_PER_MS

        /** The longest pause lasts for about this many starts, so that busy replies stay at about 1% of the starts. */
        const val STARTS_PER_BUSY = 100
        const val MAX_PAUSE_NS = 128 * NS_PER_MS
        const val MAX_DOUBLINGS = 8.0

        /** Part of a doubling of the pause that one accepted start reverts. */
        const val PAUSE_STEP = 0.25
    }
}
