package medlarroute.core

/** The rules that apply to jobs of one caller and kind. */
public data class RulesExplanation(public val decisions: List<Decision>) {
    /** One decision; [reason] names the rule, or states that none applies. */
    public data class Decision(public val topic: String, public val outcome: String, public val reason: String)

    override fun toString(): String =
        decisions.joinToString("") { "${it.topic}: ${it.outcome}\n  because ${it.reason}\n" }

    public companion object {
        /** Explains the decisions of [document] for jobs of [caller] and [kind]. */
        public fun of(document: RulesDocument, caller: CallerId, kind: KindId): RulesExplanation =
            RulesExplanation(RulesExplainer(document, caller, kind).explain())
    }
}

private class RulesExplainer(
    private val document: RulesDocument,
    private val caller: CallerId,
    private val kind: KindId,
) {
    fun explain(): List<RulesExplanation.Decision> =
        listOf(team(), quota(), openJobs(), timeout(), length(), route()) + backends()

    private val team = document.toRules(0).teamOf(caller)

    private fun team() = decision<Rule.Team>("team", team.value, "no rule lists the caller", { caller in it.callers }) {
        it.team.value
    }

    private fun quota() = decision<Rule.Quota>("quota", "none", "no rule sets one for $team", { it.team == team }) {
        "${RulesPrinter.rate(it.startsPerSecond)} for team $team"
    }

    private fun openJobs() =
        decision<Rule.OpenJobs>("open jobs", "engine.maxOpenJobsPerCaller", NO_RULE, { it.caller == caller }) {
            "at most ${it.jobs} on an entry instance"
        }

    private fun timeout() =
        decision<Rule.MaxTimeout>("longest timeout", "engine.maxTimeoutMs", NO_RULE, { it.kind == kind }) {
            RulesPrinter.time(it.timeout)
        }

    private fun length() =
        decision<Rule.Length>("class", "by measured run times", NO_RULE, { it.kind == kind }) {
            it.length.name.lowercase()
        }

    private fun route(): RulesExplanation.Decision {
        val routes = document.lines.filter { it.rule is Rule.Routing }
        val matching = routes.firstOrNull { (it.rule as Rule.Routing).route.matches(caller, kind) }
        val skippedLines = routes.takeWhile { it != matching }.map { it.line }
        val skippedText = skippedLines.joinToString()
        val skipped = if (skippedLines.isEmpty()) "" else "; routes in lines $skippedText do not match"
        if (matching == null) return RulesExplanation.Decision("failure domains", "any", "no route matches$skipped")
        val domains = (matching.rule as Rule.Routing).route.failureDomains.map { it.value }.sorted()
        val outcome = domains.joinToString().ifEmpty { "none, every job is refused" }
        return RulesExplanation.Decision("failure domains", outcome, because(matching) + skipped)
    }

    private fun backends(): List<RulesExplanation.Decision> =
        document.lines.mapNotNull { line ->
            when (val rule = line.rule) {
                is Rule.Drain -> RulesExplanation.Decision("backend server ${rule.backend}", "drained", because(line))
                is Rule.Block -> RulesExplanation.Decision("backend server ${rule.backend}", "blocked", because(line))
                else -> null
            }
        }

    private inline fun <reified R : Rule> decision(
        topic: String,
        default: String,
        defaultReason: String,
        matches: (R) -> Boolean,
        outcome: (R) -> String,
    ): RulesExplanation.Decision {
        val line = document.lines.firstOrNull { line -> (line.rule as? R)?.let(matches) == true }
            ?: return RulesExplanation.Decision(topic, default, defaultReason)
        return RulesExplanation.Decision(topic, outcome(line.rule as R), because(line))
    }

    private fun because(line: RuleLine) =
        "line ${line.line} says `${RulesPrinter.rule(line.rule)}` (${line.requestedBy})"

    private companion object {
        const val NO_RULE = "no rule sets it, so that the setting holds"
    }
}
