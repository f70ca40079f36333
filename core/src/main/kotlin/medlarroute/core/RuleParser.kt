package medlarroute.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Parses one line of a rules file; [report] receives the column, counted from 1, and the message of each error. */
internal class RuleParser(
    private val line: String,
    private val lineNumber: Int,
    private val report: (Int, String) -> Unit,
) {
    private class Token(val text: String, val column: Int)

    private val commentStart = line.indexOf('#')
    private val code = if (commentStart < 0) line else line.substring(0, commentStart)
    private val tokens = TOKEN.findAll(code).map { Token(it.value, it.range.first + 1) }.toList()
    private var next = 0
    private var hasError = false

    /** The rule of the line; null if the line has no rule or an error. */
    fun parse(): RuleLine? {
        val controlIndex = line.indexOfFirst { it.isISOControl() && it != '\t' }
        if (controlIndex >= 0) {
            addError(controlIndex + 1, "control character U+%04X".format(line[controlIndex].code))
            return null
        }
        if (tokens.isEmpty()) return null
        val rule = rule()
        if (rule != null && next < tokens.size) addError(tokens[next].column, "unexpected `${tokens[next].text}`")
        val requestedBy = if (commentStart < 0) "" else line.substring(commentStart + 1).trim()
        if (requestedBy.isEmpty()) addError(code.trimEnd().length + 1, "no comment that says who asked for the rule")
        return if (hasError || rule == null) null else RuleLine(rule, requestedBy, lineNumber)
    }

    private fun rule(): Rule? {
        val keyword = tokens[next++]
        return when (keyword.text) {
            "team" -> team()
            "quota" -> quota()
            "limit" -> openJobs()
            "timeout" -> timeout()
            "class" -> length()
            "route" -> route()
            "drain" -> backend { Rule.Drain(it) }
            "block" -> backend { Rule.Block(it) }
            else -> errorAt(keyword.column, "unknown rule `${keyword.text}`; known rules: $KEYWORDS")
        }
    }

    private fun team(): Rule? {
        val team = name("a team") ?: return null
        if (!expect("callers")) return null
        val callers = names("a caller") ?: return null
        return Rule.Team(TeamId(team), callers.map { CallerId(it) })
    }

    private fun quota(): Rule? {
        val team = name("a team") ?: return null
        val rate = nextToken("a rate such as 500/s") ?: return null
        val number = RATE.matchEntire(rate.text)?.groupValues?.get(1)?.toDoubleOrNull()
        if (number == null || number > MAX_RATE) {
            return errorAt(rate.column, "expected a rate such as 500/s, up to 1000000000/s, found `${rate.text}`")
        }
        return Rule.Quota(TeamId(team), number)
    }

    private fun openJobs(): Rule? {
        if (!expect("caller")) return null
        val caller = name("a caller") ?: return null
        if (!expect("open-jobs")) return null
        val count = nextToken("a number of jobs") ?: return null
        val jobs = count.text.takeIf { NUMBER.matches(it) }?.toIntOrNull()
            ?: return errorAt(count.column, "expected a whole number of jobs, found `${count.text}`")
        return Rule.OpenJobs(CallerId(caller), jobs)
    }

    private fun timeout(): Rule? {
        if (!expect("kind")) return null
        val kind = name("a kind") ?: return null
        val token = nextToken("a time such as 250ms") ?: return null
        val timeout = duration(token.text)
            ?: return errorAt(token.column, "expected a time such as 250ms, 2s or 1m, up to 24h, found `${token.text}`")
        return Rule.MaxTimeout(KindId(kind), timeout)
    }

    private fun length(): Rule? {
        if (!expect("kind")) return null
        val kind = name("a kind") ?: return null
        val token = nextToken("short or long") ?: return null
        val length = LengthClass.entries.firstOrNull { it.name.lowercase() == token.text }
            ?: return errorAt(token.column, "expected short or long, found `${token.text}`")
        return Rule.Length(KindId(kind), length)
    }

    private fun route(): Rule? {
        if (!expect("caller")) return null
        val caller = nameOrAny("a caller") ?: return null
        if (!expect("kind")) return null
        val kind = nameOrAny("a kind") ?: return null
        if (!expect("to")) return null
        val domains = domains() ?: return null
        val route = Route(
            caller.takeIf { it != ANY }?.let { CallerId(it) },
            kind.takeIf { it != ANY }?.let { KindId(it) },
            domains.map { FailureDomainId(it) }.toSet(),
        )
        return Rule.Routing(route)
    }

    private fun domains(): List<String>? {
        if (tokens.getOrNull(next)?.text != NONE) return names("a failure domain")
        next++
        return emptyList()
    }

    private fun backend(rule: (BackendId) -> Rule): Rule? {
        if (!expect("backend")) return null
        return name("a backend server")?.let { rule(BackendId(it)) }
    }

    /** Names separated by commas. All invalid names are reported. */
    private fun names(what: String): List<String>? {
        val names = ArrayList<String?>()
        while (true) {
            val column = tokens.getOrNull(next)?.column
            val name = name(what)
            if (name != null && name in names) addError(column ?: 1, "`$name` is listed twice")
            names += name
            if (tokens.getOrNull(next)?.text != ",") break
            next++
        }
        return if (hasError) null else names.filterNotNull()
    }

    private fun nameOrAny(what: String): String? {
        if (tokens.getOrNull(next)?.text != ANY) return name(what)
        next++
        return ANY
    }

    private fun name(what: String): String? {
        val token = nextToken(what) ?: return null
        if (NAME.matches(token.text) && token.text != NONE) return token.text
        return errorAt(token.column, "expected $what, found `${token.text}`; a name consists of $NAME_RULE")
    }

    private fun expect(keyword: String): Boolean {
        val token = nextToken("`$keyword`") ?: return false
        if (token.text == keyword) return true
        addError(token.column, "expected `$keyword`, found `${token.text}`")
        return false
    }

    private fun nextToken(what: String): Token? {
        if (next < tokens.size) return tokens[next++]
        return errorAt(code.trimEnd().length + 1, "expected $what, found the end of the rule")
    }

    private fun addError(column: Int, message: String) {
        hasError = true
        report(column, message)
    }

    private fun errorAt(column: Int, message: String): Nothing? {
        addError(column, message)
        return null
    }

    private companion object {
        const val ANY = "*"
        const val NONE = "none"
        const val MAX_RATE = 1e9
        const val KEYWORDS = "team, quota, limit, timeout, class, route, drain, block"
        const val NAME_RULE = "1 to 128 letters, digits and `_ - . : @`, and is not `none`"
        val TOKEN = Regex("[^\\s,]+|,")
        val NAME = Regex("[A-Za-z0-9_.:@-]{1,128}")
        val NUMBER = Regex("[0-9]{1,9}")
        val RATE = Regex("([0-9]{1,12}(?:\\.[0-9]{1,9})?)/s")
        val TIME = Regex("([0-9]{1,9})(ms|s|m|h)")

        fun duration(text: String): Duration? {
            val (number, unit) = TIME.matchEntire(text)?.destructured ?: return null
            val count = number.toLong()
            val duration = when (unit) {
                "ms" -> count.milliseconds
                "s" -> count.seconds
                "m" -> count.minutes
                else -> count.hours
            }
            return duration.takeIf { it > Duration.ZERO && it <= 24.hours }
        }
    }
}
