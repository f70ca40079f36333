package medlarroute.dispatch

import kotlin.time.TimeSource

/**
 * Clocks of the machine that an instance runs on.
 *
 * @property steady does not count the time for which the machine is suspended, as [TimeSource.Monotonic] on Linux.
 * @property sinceBoot counts that time, and is not set back.
 */
public class MachineClocks(
    public val steady: TimeSource.WithComparableMarks,
    public val sinceBoot: TimeSource.WithComparableMarks,
) {
    /**
     * Measures all ages and waits of the instance. A renewal from before a suspension is as old as its sender takes it
     * to be, and a wait ends when the other instances expect it to.
     */
    public val elapsed: TimeSource.WithComparableMarks get() = sinceBoot
}

/** Detects that the machine was suspended, by the difference between its [clocks]. Not thread-safe. */
internal class SuspensionMonitor(clocks: MachineClocks) {
    // In this order, a pause between the two origins, too, makes the difference smaller.
    private val steady = ElapsedClock(clocks.steady)
    private val sinceBoot = ElapsedClock(clocks.sinceBoot)
    private var totalMs = 0L

    /** Time for which the machine was suspended since the last call, in milliseconds. */
    fun newlySuspendedMs(): Long {
        // Read in this order, a pause between the two readings makes the difference smaller, never larger.
        val sinceBootMs = sinceBoot.nowMs()
        val addedMs = sinceBootMs - steady.nowMs() - totalMs
        if (addedMs < MIN_SUSPENSION_MS) return 0
        totalMs += addedMs
        return addedMs
    }

    private companion object {
        /** The readings are rounded to milliseconds. */
        const val MIN_SUSPENSION_MS = 10L
    }
}
