package medlarroute.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Counts answered jobs against service-level objectives over the last six hours.
 *
 * Memory is fixed: [SLOTS] slots of two counters for each objective. Thread-safe; every call holds one lock for a short
 * time.
 *
 * @param incarnation life of the instance, so that readers tell a restart, which begins at zero, from a reset.
 */
public class BurnMeter(
    objectives: List<ObjectiveSettings>,
    private val instance: InstanceId,
    private val incarnation: Incarnation,
    clock: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) : JobObserver {
    private val start = clock.markNow()
    private val counters = objectives.map { Counter(it) }

    override fun answered(outcome: JobOutcome) {
        if (outcome.result == JobResult.CALLER_CAUSED) return
        counters.firstOrNull { it.matches(outcome) }?.count(outcome, start.elapsedNow())
    }

    /** The counts up to now. */
    public fun snapshot(): BurnSnapshot {
        val now = start.elapsedNow()
        val burns = counters.map { it.snapshot(now) }
        return BurnSnapshot(instance.value, incarnation.toString(), now.inWholeMilliseconds, burns)
    }

    private class Counter(private val objective: ObjectiveSettings) {
        private val total = LongArray(SLOTS)
        private val bad = LongArray(SLOTS)
        private var newestSlot = 0L
        private var totalSinceStart = 0L
        private var badSinceStart = 0L

        fun matches(outcome: JobOutcome) =
            (objective.caller.isEmpty() || objective.caller == outcome.caller.value) &&
                (objective.kind.isEmpty() || objective.kind == outcome.kind.value)

        @Synchronized
        fun count(outcome: JobOutcome, now: Duration) {
            advance(now)
            val isInTime = outcome.latency <= objective.latencyMs.milliseconds
            val isGood = outcome.result == JobResult.COMPLETE && isInTime
            val slot = (newestSlot % SLOTS).toInt()
            total[slot]++
            totalSinceStart++
            if (isGood) return
            bad[slot]++
            badSinceStart++
        }

        @Synchronized
        fun snapshot(now: Duration): ObjectiveCounts {
            advance(now)
            val windows = BurnWindow.entries.map { window ->
                WindowCounts(window, last(total, 0, window.slots), last(bad, 0, window.slots))
            }
            val series = List(SLOTS / SERIES_SLOTS) { i ->
                PointCounts(last(total, i * SERIES_SLOTS, SERIES_SLOTS), last(bad, i * SERIES_SLOTS, SERIES_SLOTS))
            }
            return ObjectiveCounts(objective, totalSinceStart, badSinceStart, windows, series)
        }

        /** Empties the slots between the newest one and the one of [now]. */
        private fun advance(now: Duration) {
            val slot = now.inWholeMilliseconds / SLOT.inWholeMilliseconds
            val steps = minOf(slot - newestSlot, SLOTS.toLong())
            for (step in 0 until steps) {
                val emptied = ((slot - step) % SLOTS).toInt()
                total[emptied] = 0
                bad[emptied] = 0
            }
            newestSlot = maxOf(newestSlot, slot)
        }

        /** Sum over [count] slots, of which the newest is [age] slots old. */
        private fun last(counts: LongArray, age: Int, count: Int): Long =
            (age until age + count).sumOf { counts[Math.floorMod(newestSlot - it, SLOTS)] }
    }

    internal companion object {
        /** Resolution of all windows. */
        val SLOT = 30.seconds

        /** Six hours of slots. */
        const val SLOTS = 720

        /** Slots for each point of the series: five minutes. */
        const val SERIES_SLOTS = 10
    }
}
