package medlarroute.core

import kotlinx.serialization.Serializable

/** How fast the error budget of an objective is consumed. */
@Serializable
public enum class BurnState {
    /** No job was counted in any window. */
    NO_DATA,

    /** Neither pair of windows is above its limit. */
    OK,

    /** 30 min and 6 h are both above [BurnReport.SLOW_LIMIT]. */
    SLOW_BURN,

    /** 5 min and 1 h are both above [BurnReport.FAST_LIMIT]. */
    FAST_BURN,
}

/** Burn rate over a window: the share of bad jobs, relative to the share that the objective allows. */
@Serializable
public data class WindowBurn(
    public val window: BurnWindow,
    public val total: Long,
    public val bad: Long,
    public val burnRate: Double,
)

/**
 * Burn of one objective over all instances that replied.
 *
 * @property series burn rates of five minutes each over six hours, newest first.
 */
@Serializable
public data class ObjectiveBurn(
    public val objective: ObjectiveSettings,
    public val state: BurnState,
    public val windows: List<WindowBurn>,
    public val series: List<Double>,
)

/** An instance that replied. Windows longer than [uptimeMs] cover only the time since its start. */
@Serializable
public data class ReportedInstance(
    public val instance: String,
    public val incarnation: String,
    public val uptimeMs: Long,
)

/** An instance that did not reply at [url]. Its jobs are missing from the report. */
@Serializable
public data class UnreachableInstance(public val url: String, public val reason: String)

/** Burn of all objectives over several instances. */
@Serializable
public data class BurnReport(
    public val instances: List<ReportedInstance>,
    public val unreachable: List<UnreachableInstance>,
    public val objectives: List<ObjectiveBurn>,
) {
    public companion object {
        /** Burn rate at which an hour consumes 2% of a 30-day error budget. */
        public const val FAST_LIMIT: Double = 14.4

        /** Burn rate at which six hours consume 5% of a 30-day error budget. */
        public const val SLOW_LIMIT: Double = 6.0

        /** Sums [snapshots]. An instance that replied twice, at two addresses, is counted once. */
        public fun merge(snapshots: List<BurnSnapshot>, unreachable: List<UnreachableInstance>): BurnReport {
            val distinct = snapshots.sortedByDescending { it.uptimeMs }.distinctBy { it.instance to it.incarnation }
            val instances = distinct.map { ReportedInstance(it.instance, it.incarnation, it.uptimeMs) }
            val counts = distinct.flatMap { it.objectives }.groupBy { it.objective }
            val burns = counts.map { (objective, parts) -> burn(objective, parts) }
            return BurnReport(instances.sortedBy { it.instance }, unreachable, burns)
        }

        private fun burn(objective: ObjectiveSettings, parts: List<ObjectiveCounts>): ObjectiveBurn {
            val windows = BurnWindow.entries.map { window ->
                val counts = parts.flatMap { it.windows }.filter { it.window == window }
                val total = counts.sumOf { it.total }
                val bad = counts.sumOf { it.bad }
                WindowBurn(window, total, bad, rate(objective, total, bad))
            }
            val points = parts.maxOf { it.series.size }
            val series = List(points) { i ->
                val counts = parts.mapNotNull { it.series.getOrNull(i) }
                rate(objective, counts.sumOf { it.total }, counts.sumOf { it.bad })
            }
            return ObjectiveBurn(objective, state(windows), windows, series)
        }

        private fun rate(objective: ObjectiveSettings, total: Long, bad: Long): Double =
            if (total == 0L) 0.0 else bad.toDouble() / total / (1 - objective.share)

        private fun state(windows: List<WindowBurn>): BurnState {
            val rates = windows.associate { it.window to it.burnRate }
            fun isAbove(limit: Double, vararg pair: BurnWindow) = pair.all { rates.getValue(it) > limit }
            return when {
                windows.all { it.total == 0L } -> BurnState.NO_DATA
                isAbove(FAST_LIMIT, BurnWindow.FIVE_MINUTES, BurnWindow.ONE_HOUR) -> BurnState.FAST_BURN
                isAbove(SLOW_LIMIT, BurnWindow.THIRTY_MINUTES, BurnWindow.SIX_HOURS) -> BurnState.SLOW_BURN
                else -> BurnState.OK
            }
        }
    }
}
