package medlarroute.core

import kotlin.time.Duration

/**
 * Rules in force. The version never decreases.
 *
 * @property teams team of each caller; a caller that is not listed forms a team of the same name.
 * @property quotas starts per second for each team; a team that is not listed has no quota.
 * @property routes routes in the order of the file; the first match applies.
 */
public data class Rules(
    public val version: Long = 0,
    public val teams: Map<CallerId, TeamId> = emptyMap(),
    public val quotas: Map<TeamId, Double> = emptyMap(),
    public val routes: List<Route> = emptyList(),
    public val lengthClasses: Map<KindId, LengthClass> = emptyMap(),
    public val maxTimeouts: Map<KindId, Duration> = emptyMap(),
    public val openJobLimits: Map<CallerId, Int> = emptyMap(),
    public val drainedBackends: Set<BackendId> = emptySet(),
    public val blockedBackends: Set<BackendId> = emptySet(),
) {
    /** Team of [caller]. */
    public fun teamOf(caller: CallerId): TeamId = teams[caller] ?: TeamId(caller.value)

    /** The route for jobs of [caller] and [kind]; null if none matches, so that any backend server may run them. */
    public fun routeOf(caller: CallerId, kind: KindId): Route? = routes.firstOrNull { it.matches(caller, kind) }
}

/**
 * Where jobs of a caller and kind may run. A null [caller] or [kind] matches any.
 *
 * @property failureDomains allowed failure domains; empty means none, so that the job can never run.
 */
public data class Route(
    public val caller: CallerId?,
    public val kind: KindId?,
    public val failureDomains: Set<FailureDomainId>,
) {
    internal fun matches(caller: CallerId, kind: KindId): Boolean =
        (this.caller == null || this.caller == caller) && (this.kind == null || this.kind == kind)
}

/** Whether tasks of a kind count as short or long work. */
public enum class LengthClass { SHORT, LONG }
