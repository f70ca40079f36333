package medlarroute.core

import kotlin.random.Random
import kotlin.time.Duration

/**
 * Exponential backoff with jitter: the upper bound doubles from [initial] to [max], and each delay is uniform between
 * half of the bound and the bound. The jitter keeps instances from retrying at the same time after an outage. Not
 * thread-safe.
 */
public class Backoff(
    private val initial: Duration,
    private val max: Duration,
    private val random: Random = Random.Default,
) {
    private var failures = 0

    /** Records a failure and returns the delay before the next attempt. */
    public fun next(): Duration {
        val bound = minOf(initial * (1L shl failures.coerceAtMost(MAX_DOUBLINGS)).toDouble(), max)
        failures++
        return jittered(bound, random)
    }

    /** Records a success: the upper bound starts from [initial] again. */
    public fun reset() {
        failures = 0
    }

    public companion object {
        private const val MAX_DOUBLINGS = 20

        /** A random delay between half of [bound] and [bound]. */
        public fun jittered(bound: Duration, random: Random): Duration =
            bound * random.nextDouble(from = 0.5, until = 1.0)
    }
}
