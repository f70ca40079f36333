package medlarroute.dispatch

/**
 * For how long a process has been able to receive messages. It could not before its start, nor while it was paused or
 * its machine was suspended, which shows as a gap between its ticks.
 */
internal class ListeningTime {
    private var tickedAtMs = 0L
    private var sinceMs = 0L

    /** Returns whether there was a gap before this tick. */
    fun onTick(nowMs: Long): Boolean {
        val hadGap = noticeGap(nowMs)
        tickedAtMs = nowMs
        return hadGap
    }

    /** Time since the start of the process or the end of its last pause, in milliseconds. */
    fun elapsedMs(nowMs: Long): Long {
        noticeGap(nowMs)
        return nowMs - sinceMs
    }

    private fun noticeGap(nowMs: Long): Boolean {
        if (nowMs - tickedAtMs <= PAUSE_MS) return false
        sinceMs = nowMs
        tickedAtMs = nowMs
        return true
    }
}

/** Time without a tick after which a process counts as paused: several ticks. A loaded instance is rarely later. */
internal const val PAUSE_MS = 300L
