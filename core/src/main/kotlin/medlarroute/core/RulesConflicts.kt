package medlarroute.core

/** Finds rules that repeat or contradict an earlier one, and routes that can never decide. */
internal class RulesConflicts(private val lines: List<RuleLine>, private val file: String) {
    private val findings = ArrayList<Finding>()
    private val firstLines = HashMap<String, Int>()
    private val routes = ArrayList<Pair<Route, Int>>()

    fun find(): List<Finding> {
        lines.forEach { check(it.rule, it.line) }
        return findings
    }

    private fun check(rule: Rule, line: Int) {
        when (rule) {
            is Rule.Team -> {
                unique("team `${rule.team}`", line)
                rule.callers.forEach { unique("the team of caller `$it`", line) }
            }

            is Rule.Quota -> unique("the quota of team `${rule.team}`", line)

            is Rule.OpenJobs -> unique("the open-jobs limit of caller `${rule.caller}`", line)

            is Rule.MaxTimeout -> unique("the timeout of kind `${rule.kind}`", line)

            is Rule.Length -> unique("the class of kind `${rule.kind}`", line)

            is Rule.Drain -> unique("drain or block of backend server `${rule.backend}`", line)

            is Rule.Block -> unique("drain or block of backend server `${rule.backend}`", line)

            is Rule.Routing -> reachable(rule.route, line)
        }
    }

    private fun unique(what: String, line: Int) {
        val first = firstLines.putIfAbsent(what, line) ?: return
        findings += Finding(file, line, 1, "$what is already set in line $first")
    }

    private fun reachable(route: Route, line: Int) {
        val earlier = routes.firstOrNull { (other, _) -> covers(other, route) }
        if (earlier != null) {
            findings += Finding(file, line, 1, "this route never decides, as line ${earlier.second} matches first")
        }
        routes += route to line
    }

    private fun covers(a: Route, b: Route) =
        (a.caller == null || a.caller == b.caller) && (a.kind == null || a.kind == b.kind)
}
