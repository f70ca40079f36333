package medlarroute.core

/** Finds rules that repeat or contradict an earlier one, and routes that an earlier route makes unreachable. */
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
                expectUnique("team `${rule.team}`", line)
                rule.callers.forEach { expectUnique("the team of caller `$it`", line) }
            }

            is Rule.Quota -> expectUnique("the quota of team `${rule.team}`", line)

            is Rule.OpenJobs -> expectUnique("the open-jobs limit of caller `${rule.caller}`", line)

            is Rule.MaxTimeout -> expectUnique("the timeout of kind `${rule.kind}`", line)

            is Rule.Length -> expectUnique("the class of kind `${rule.kind}`", line)

            is Rule.Drain -> expectUnique("drain or block of backend server `${rule.backend}`", line)

            is Rule.Block -> expectUnique("drain or block of backend server `${rule.backend}`", line)

            is Rule.Routing -> expectReachable(rule.route, line)
        }
    }

    private fun expectUnique(what: String, line: Int) {
        val first = firstLines.putIfAbsent(what, line) ?: return
        findings += Finding(file, line, 1, "$what is already set in line $first")
    }

    private fun expectReachable(route: Route, line: Int) {
        val earlier = routes.firstOrNull { (other, _) -> covers(other, route) }
        if (earlier != null) {
            findings += Finding(file, line, 1, "this route never decides, as line ${earlier.second} matches first")
        }
        routes += route to line
    }

    private fun covers(a: Route, b: Route) =
        (a.caller == null || a.caller == b.caller) && (a.kind == null || a.kind == b.kind)
}
