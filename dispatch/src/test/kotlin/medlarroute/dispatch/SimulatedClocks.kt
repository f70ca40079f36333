package medlarroute.dispatch

import kotlin.time.AbstractLongTimeSource
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/**
 * Clocks of one machine. The time since boot goes on while the machine is suspended, the steady clock stands still.
 *
 * @param rate speed of both clocks relative to [trueTime].
 */
internal class SimulatedClocks(private val trueTime: TimeSource.WithComparableMarks, rate: Double = 1.0) {
    private val trueOrigin = trueTime.markNow()
    private val time: TimeSource.WithComparableMarks =
        if (rate == 1.0) trueTime else nanoseconds { trueOrigin.elapsedNow() * rate }
    private val origin = time.markNow()
    private var suspendedFor = Duration.ZERO
    private var suspendedSince: ComparableTimeMark? = null

    private val steady = nanoseconds {
        val current = suspendedSince?.elapsedNow() ?: Duration.ZERO
        origin.elapsedNow() - suspendedFor - current
    }

    val machine = MachineClocks(steady, sinceBoot = time)

    private fun nanoseconds(elapsed: () -> Duration) = object : AbstractLongTimeSource(DurationUnit.NANOSECONDS) {
        override fun read(): Long = elapsed().inWholeNanoseconds
    }

    fun suspend() {
        suspendedSince = time.markNow()
    }

    fun resume() {
        suspendedFor += suspendedSince?.elapsedNow() ?: return
        suspendedSince = null
    }
}
