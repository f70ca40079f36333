package medlarroute.core

import kotlin.time.Duration

/** One rule as written in a rules file. */
public sealed interface Rule {
    /** The [callers] form one team. */
    public data class Team(public val team: TeamId, public val callers: List<CallerId>) : Rule

    /** Jobs of the [team] start at most [startsPerSecond] tasks per second over all entry instances. */
    public data class Quota(public val team: TeamId, public val startsPerSecond: Double) : Rule

    /** The [caller] has at most [jobs] open jobs on an entry instance. */
    public data class OpenJobs(public val caller: CallerId, public val jobs: Int) : Rule

    /** Jobs of the [kind] have at most this [timeout]. */
    public data class MaxTimeout(public val kind: KindId, public val timeout: Duration) : Rule

    /** Tasks of the [kind] count as short or long work. */
    public data class Length(public val kind: KindId, public val length: LengthClass) : Rule

    /** Jobs that [route] matches run only in its failure domains; the first matching route applies. */
    public data class Routing(public val route: Route) : Rule

    /** The [backend] server gets no new tasks; running ones are not stopped. */
    public data class Drain(public val backend: BackendId) : Rule

    /** The [backend] server gets no new tasks, as it is suspected to be faulty. */
    public data class Block(public val backend: BackendId) : Rule
}

/**
 * A rule with its location in the file.
 *
 * @property requestedBy the trailing comment: who requested the rule, and why.
 * @property line number of the line, counted from 1.
 */
public data class RuleLine(public val rule: Rule, public val requestedBy: String, public val line: Int)

/** The rules of one file, in its order. [RulesReader] ensures that they do not contradict each other. */
public data class RulesDocument(public val lines: List<RuleLine>) {
    /** The rules as the engine uses them. */
    public fun toRules(version: Long): Rules {
        val rules = lines.map { it.rule }
        return Rules(
            version = version,
            teams = rules.filterIsInstance<Rule.Team>().flatMap { rule ->
                rule.callers.map { it to rule.team }
            }.toMap(),
            quotas = rules.filterIsInstance<Rule.Quota>().associate { it.team to it.startsPerSecond },
            routes = rules.filterIsInstance<Rule.Routing>().map { it.route },
            lengthClasses = rules.filterIsInstance<Rule.Length>().associate { it.kind to it.length },
            maxTimeouts = rules.filterIsInstance<Rule.MaxTimeout>().associate { it.kind to it.timeout },
            openJobLimits = rules.filterIsInstance<Rule.OpenJobs>().associate { it.caller to it.jobs },
            drainedBackends = rules.filterIsInstance<Rule.Drain>().map { it.backend }.toSet(),
            blockedBackends = rules.filterIsInstance<Rule.Block>().map { it.backend }.toSet(),
        )
    }
}
