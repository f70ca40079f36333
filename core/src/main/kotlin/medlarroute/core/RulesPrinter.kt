package medlarroute.core

import java.math.BigDecimal
import kotlin.time.Duration

/** Prints rules in the canonical form: sorted, except for routes, whose order matters. */
public object RulesPrinter {
    /** All rules of [document], one per line, each with its comment. */
    public fun print(document: RulesDocument): String = canonical(document).joinToString("") { "${line(it)}\n" }

    /** One rule with its comment. */
    public fun line(line: RuleLine): String = "${rule(line.rule)}  # ${line.requestedBy}"

    /** One rule without its comment. */
    public fun rule(rule: Rule): String =
        when (rule) {
            is Rule.Team -> "team ${rule.team} callers ${rule.callers.sortedBy { it.value }.joinToString()}"
            is Rule.Quota -> "quota ${rule.team} ${rate(rule.startsPerSecond)}"
            is Rule.OpenJobs -> "limit caller ${rule.caller} open-jobs ${rule.jobs}"
            is Rule.MaxTimeout -> "timeout kind ${rule.kind} ${time(rule.timeout)}"
            is Rule.Length -> "class kind ${rule.kind} ${rule.length.name.lowercase()}"
            is Rule.Routing -> route(rule.route)
            is Rule.Drain -> "drain backend ${rule.backend}"
            is Rule.Block -> "block backend ${rule.backend}"
        }

    internal fun canonical(document: RulesDocument): List<RuleLine> {
        val (routes, others) = document.lines.partition { it.rule is Rule.Routing }
        val sorted = others.sortedWith(compareBy({ section(it.rule) }, { rule(it.rule) }))
        val (before, after) = sorted.partition { section(it.rule) < Section.ROUTE }
        return before + routes + after
    }

    /** Order of the rules in the canonical form. */
    private enum class Section { TEAM, QUOTA, OPEN_JOBS, TIMEOUT, LENGTH, ROUTE, DRAIN, BLOCK }

    private fun section(rule: Rule): Section =
        when (rule) {
            is Rule.Team -> Section.TEAM
            is Rule.Quota -> Section.QUOTA
            is Rule.OpenJobs -> Section.OPEN_JOBS
            is Rule.MaxTimeout -> Section.TIMEOUT
            is Rule.Length -> Section.LENGTH
            is Rule.Routing -> Section.ROUTE
            is Rule.Drain -> Section.DRAIN
            is Rule.Block -> Section.BLOCK
        }

    private fun route(route: Route): String {
        val domains = route.failureDomains.map { it.value }.sorted().joinToString().ifEmpty { "none" }
        return "route caller ${route.caller ?: "*"} kind ${route.kind ?: "*"} to $domains"
    }

    internal fun rate(startsPerSecond: Double): String =
        "${BigDecimal.valueOf(startsPerSecond).stripTrailingZeros().toPlainString()}/s"

    internal fun time(timeout: Duration): String {
        val timeoutMs = timeout.inWholeMilliseconds
        return if (timeoutMs % MS_PER_SECOND == 0L) "${timeoutMs / MS_PER_SECOND}s" else "${timeoutMs}ms"
    }

    private const val MS_PER_SECOND = 1_000
}
