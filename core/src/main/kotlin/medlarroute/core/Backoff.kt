package medlarroute.core

import kotlin.random.Random
import kotlin.time.Duration

/**
 * Waiting times between attempts: the upper bound doubles from [first] to [longest], and each wait is uniform between
 * half of the bound and the bound. The jitter keeps instances from retrying in step after an outage. Not thread-safe.
 */
public class Backoff(
    private val first: Duration,
    private val longest: Duration,
    private val random: Random = Random.Default,
) {
    private var failures = 0

    /** Notes a failure and returns the time to wait before the next attempt. */
    public fun next(): Duration {
        val bound = minOf(first * (1L shl failures.coerceAtMost(MAX_DOUBLINGS)).toDouble(), longest)
        failures++
        return jittered(bound, random)
    }

    /** Notes a success: the next wait starts from the shortest bound again. */
    public fun reset() {
        failures = 0
    }

    public companion object {
        private const val MAX_DOUBLINGS = 20

        /** A time between half of [bound] and [bound]. */
        public fun jittered(bound: Duration, random: Random): Duration =
            bound * random.nextDouble(from = 0.5, until = 1.0)
    }
}
