package medlarroute.dispatch

import kotlin.time.AbstractLongTimeSource
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/** Clocks of one machine. [time] goes on while the machine is suspended, its steady clock stands still. */
internal class SimulatedClocks(private val time: TimeSource.WithComparableMarks) {
    private val origin = time.markNow()
    private var suspendedFor = Duration.ZERO
    private var suspendedSince: ComparableTimeMark? = null

    private val steady = object : AbstractLongTimeSource(DurationUnit.NANOSECONDS) {
        override fun read(): Long {
            val current = suspendedSince?.elapsedNow() ?: Duration.ZERO
            return (origin.elapsedNow() - suspendedFor - current).inWholeNanoseconds
        }
    }

    val machine = MachineClocks(steady, sinceBoot = time)

    fun suspend() {
        suspendedSince = time.markNow()
    }

    fun resume() {
        suspendedFor += suspendedSince?.elapsedNow() ?: return
        suspendedSince = null
    }
}
