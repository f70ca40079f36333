package medlarroute.dispatch

import kotlin.random.Random
import kotlin.time.TimeSource

/**
 * Clock of the times that an instance sends to its peers, which only the instance itself interprets when a peer returns
 * them. It begins at a random time, so that a time of another process of the same instance is recognized.
 */
internal class PeerClock(clock: TimeSource.WithComparableMarks, random: Random = Random.Default) {
    private val elapsed = ElapsedClock(clock)
    private val startMs = random.nextLong(MAX_START_MS)

    fun nowMs(): Long = startMs + elapsed.nowMs()

    /** Time since [sentAtMs]; null if this process has not sent that time. */
    fun ageMsOrNull(sentAtMs: Long): Long? = (nowMs() - sentAtMs).takeIf { sentAtMs >= startMs && it >= 0 }

    private companion object {
        /** JSON numbers are exact up to 53 bits. */
        const val MAX_START_MS = 1L shl 45
    }
}
