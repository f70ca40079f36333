package medlarroute.core

import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/** Tasks per second that each team submits: an exponential moving average over about [window]. Not thread-safe. */
public class DemandMeter(
    private val clock: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    private val window: Duration = 3.seconds,
) {
    private class Rate(var perSecond: Double, var updatedAt: Duration)

    private val origin = clock.markNow()
    private val rates = HashMap<TeamId, Rate>()

    /** Records that [team] submitted [tasks] tasks. */
    public fun add(team: TeamId, tasks: Int) {
        val now = origin.elapsedNow()
        val rate = rates.getOrPut(team) { Rate(0.0, now) }
        rate.perSecond = decayed(rate, now) + tasks / window.toDouble(DurationUnit.SECONDS)
        rate.updatedAt = now
    }

    /** Tasks per second of each team. */
    public fun rates(): Map<TeamId, Double> {
        val now = origin.elapsedNow()
        rates.values.removeIf { decayed(it, now) < NEGLIGIBLE_PER_SECOND }
        return rates.mapValues { (_, rate) -> decayed(rate, now) }
    }

    private fun decayed(rate: Rate, now: Duration): Double = rate.perSecond * exp(-((now - rate.updatedAt) / window))

    private companion object {
        const val NEGLIGIBLE_PER_SECOND = 0.01
    }
}
