package medlarroute.core

import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes

/** Time over which a burn rate is computed, up to now. Its start is accurate to 30 s. */
@Serializable
public enum class BurnWindow(public val length: Duration) {
    FIVE_MINUTES(5.minutes),
    ONE_HOUR(1.hours),
    THIRTY_MINUTES(30.minutes),
    SIX_HOURS(6.hours),
    ;

    internal val buckets: Int get() = (length / BurnMeter.BUCKET).toInt()
}

/** Jobs counted in a [window], and those of them that were not complete in time. */
@Serializable
public data class WindowCounts(public val window: BurnWindow, public val total: Long, public val bad: Long)

/** Jobs counted in five minutes, and those of them that were not complete in time. */
@Serializable
public data class PointCounts(public val total: Long, public val bad: Long)

/**
 * Counts for one objective.
 *
 * @property series five-minute counts of the last six hours, newest first.
 */
@Serializable
public data class ObjectiveCounts(
    public val objective: ObjectiveSettings,
    public val totalSinceStart: Long,
    public val badSinceStart: Long,
    public val windows: List<WindowCounts>,
    public val series: List<PointCounts>,
)

/** Counts of one [incarnation] of an [instance]. */
@Serializable
public data class BurnSnapshot(
    public val instance: String,
    public val incarnation: String,
    public val uptimeMs: Long,
    public val objectives: List<ObjectiveCounts>,
)
