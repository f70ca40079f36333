package medlarroute.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Counts answered jobs against service-level objectives over the last six hours.
 *
 * Uses constant memory: [BUCKETS] buckets of two counters for each objective. Thread-safe; every call holds one lock
 * for a short time.
 *
 * @param incarnation incarnation of the instance, by which readers detect a restart, after which counts begin at zero.
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

    /** The current counts. */
    public fun snapshot(): BurnSnapshot {
        val now = start.elapsedNow()
        val burns = counters.map { it.snapshot(now) }
        return BurnSnapshot(instance.value, incarnation.toString(), now.inWholeMilliseconds, burns)
    }

    private class Counter(private val objective: ObjectiveSettings) {
        private val total = LongArray(BUCKETS)
        private val bad = LongArray(BUCKETS)
        private var newestBucket = 0L
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
            val bucket = (newestBucket % BUCKETS).toInt()
            total[bucket]++
            totalSinceStart++
            if (isGood) return
            bad[bucket]++
            badSinceStart++
        }

        @Synchronized
        fun snapshot(now: Duration): ObjectiveCounts {
            advance(now)
            val windows = BurnWindow.entries.map { window ->
                WindowCounts(window, last(total, 0, window.buckets), last(bad, 0, window.buckets))
            }
            val series = List(BUCKETS / SERIES_BUCKETS) { i ->
                val age = i * SERIES_BUCKETS
                PointCounts(last(total, age, SERIES_BUCKETS), last(bad, age, SERIES_BUCKETS))
            }
            return ObjectiveCounts(objective, totalSinceStart, badSinceStart, windows, series)
        }

        /** Clears the buckets after the newest one, up to the one of [now]. */
        private fun advance(now: Duration) {
            val bucket = now.inWholeMilliseconds / BUCKET.inWholeMilliseconds
            val steps = minOf(bucket - newestBucket, BUCKETS.toLong())
            for (step in 0 until steps) {
                val cleared = ((bucket - step) % BUCKETS).toInt()
                total[cleared] = 0
                bad[cleared] = 0
            }
            newestBucket = maxOf(newestBucket, bucket)
        }

        /** Sum over [count] buckets, of which the newest is [age] buckets old. */
        private fun last(counts: LongArray, age: Int, count: Int): Long =
            (age until age + count).sumOf { counts[Math.floorMod(newestBucket - it, BUCKETS)] }
    }

    internal companion object {
        /** Length of a bucket, the resolution of all windows. */
        val BUCKET = 30.seconds

        /** Buckets of six hours. */
        const val BUCKETS = 720

        /** Buckets of each point of the series: five minutes. */
        const val SERIES_BUCKETS = 10
    }
}
