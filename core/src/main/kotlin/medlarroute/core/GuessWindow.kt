package medlarroute.core

/**
 * Limits the starts on backend servers whose free slots are not known but presumed.
 *
 * A busy reply comes back within a round trip, so the absence of one tells that a start was accepted. As long as none
 * comes, the number of guesses doubles from one round to the next; busy replies halve it and pause all guesses, for
 * longer the fewer guesses were accepted before. A full cluster then costs few messages, and a free one a few
 * milliseconds of delay.
 */
internal class GuessWindow {
    private var window = FIRST_WINDOW
    private var roundNs = NEVER_NS
    private var sent = 0
    private var busy = 0
    private var pauses = 0.0
    private var pausedUntilNs = NEVER_NS

    fun take(nowNs: Long): Boolean {
        if (nowNs < pausedUntilNs) return false
        if (nowNs - roundNs >= ROUND_NS) nextRound(nowNs)
        if (sent >= window) return false
        sent++
        return true
    }

    private fun nextRound(nowNs: Long) {
        if (busy == 0 && sent >= window) window = (window * 2).coerceAtMost(MAX_WINDOW)
        pauses = (pauses - (sent - busy) * PAUSE_STEP).coerceAtLeast(0.0)
        roundNs = nowNs
        sent = 0
        busy = 0
    }

    /** [startIntervalNs] is the mean time between two starts of this instance. */
    fun recordBusy(nowNs: Long, startIntervalNs: Double) {
        busy++
        window = (window / 2).coerceAtLeast(1)
        val mostNs = (startIntervalNs * STARTS_PER_BUSY).toLong().coerceIn(FIRST_PAUSE_NS, MAX_PAUSE_NS)
        val pauseNs = (FIRST_PAUSE_NS shl pauses.toInt()).coerceAtMost(mostNs)
        pausedUntilNs = maxOf(pausedUntilNs, nowNs + pauseNs)
        pauses = (pauses + 1).coerceAtMost(MAX_DOUBLINGS)
    }

    /** Time at which guesses are allowed again; null if they are allowed now. */
    fun nextNs(nowNs: Long): Long? =
        when {
            nowNs < pausedUntilNs -> pausedUntilNs
            sent >= window && nowNs - roundNs < ROUND_NS -> roundNs + ROUND_NS
            else -> null
        }

    private companion object {
        const val FIRST_WINDOW = 8
        const val MAX_WINDOW = 64
        const val ROUND_NS = 3 * NS_PER_MS / 2
        const val FIRST_PAUSE_NS = 2 * NS_PER_MS

        /** The longest pause lasts for about as many starts, so that busy replies stay about 1% of the starts. */
        const val STARTS_PER_BUSY = 100
        const val MAX_PAUSE_NS = 128 * NS_PER_MS
        const val MAX_DOUBLINGS = 8.0

        /** Part of a doubling that one accepted guess takes back. */
        const val PAUSE_STEP = 0.25
    }
}
