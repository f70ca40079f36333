package medlarroute.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Parses one line of a rules file; [report] takes a column from 1 and a message. */
internal class RuleParser(
    private val line: String,
    private val lineNumber: Int,
    private val report: (Int, String) -> Unit,
) {
    private class Word(val text: String, val column: Int)

    private val hash = line.indexOf('#')
    private val code = if (hash < 0) line else line.substring(0, hash)
    private val words = WORD.findAll(code).map { Word(it.value, it.range.first + 1) }.toList()
    private var next = 0
    private var isFaulty = false

    /** The rule of the line; null if it has none or a fault. */
    fun parse(): RuleLine? {
        val control = line.indexOfFirst { it.isISOControl() && it != '\t' }
        if (control >= 0) {
            fault(control + 1, "control character U+%04X".format(line[control].code))
            return null
        }
        if (words.isEmpty()) return null
        val rule = rule()
        if (rule != null && next < words.size) fault(words[next].column, "unexpected `${words[next].text}`")
        val requestedBy = if (hash < 0) "" else line.substring(hash + 1).trim()
        if (requestedBy.isEmpty()) fault(code.trimEnd().length + 1, "no comment that says who asked for the rule")
        return if (isFaulty || rule == null) null else RuleLine(rule, requestedBy, lineNumber)
    }

    private fun rule(): Rule? {
        val keyword = words[next++]
        return when (keyword.text) {
            "team" -> team()
            "quota" -> quota()
            "limit" -> openJobs()
            "timeout" -> timeout()
            "class" -> length()
            "route" -> route()
            "drain" -> backend { Rule.Drain(it) }
            "block" -> backend { Rule.Block(it) }
            else -> none(keyword.column, "unknown rule `${keyword.text}`; known rules: $KEYWORDS")
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
        val rate = take("a rate such as 500/s") ?: return null
        val number = RATE.matchEntire(rate.text)?.groupValues?.get(1)?.toDoubleOrNull()
        if (number == null || number > MAX_RATE) {
            return none(rate.column, "expected a rate such as 500/s, up to 1000000000/s, found `${rate.text}`")
        }
        return Rule.Quota(TeamId(team), number)
    }

    private fun openJobs(): Rule? {
        if (!expect("caller")) return null
        val caller = name("a caller") ?: return null
        if (!expect("open-jobs")) return null
        val count = take("a number of jobs") ?: return null
        val jobs = count.text.takeIf { NUMBER.matches(it) }?.toIntOrNull()
            ?: return none(count.column, "expected a whole number of jobs, found `${count.text}`")
        return Rule.OpenJobs(CallerId(caller), jobs)
    }

    private fun timeout(): Rule? {
        if (!expect("kind")) return null
        val kind = name("a kind") ?: return null
        val word = take("a time such as 250ms") ?: return null
        val timeout = duration(word.text)
            ?: return none(word.column, "expected a time such as 250ms, 2s or 1m, up to 24h, found `${word.text}`")
        return Rule.MaxTimeout(KindId(kind), timeout)
    }

    private fun length(): Rule? {
        if (!expect("kind")) return null
        val kind = name("a kind") ?: return null
        val word = take("short or long") ?: return null
        val length = LengthClass.entries.firstOrNull { it.name.lowercase() == word.text }
            ?: return none(word.column, "expected short or long, found `${word.text}`")
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
        if (words.getOrNull(next)?.text != NONE) return names("a failure domain")
        next++
        return emptyList()
    }

    private fun backend(rule: (BackendId) -> Rule): Rule? {
        if (!expect("backend")) return null
        return name("a backend server")?.let { rule(BackendId(it)) }
    }

    /** Names separated by commas. All faulty names are reported. */
    private fun names(what: String): List<String>? {
        val names = ArrayList<String?>()
        while (true) {
            val column = words.getOrNull(next)?.column
            val name = name(what)
            if (name != null && name in names) fault(column ?: 1, "`$name` is listed twice")
            names += name
            if (words.getOrNull(next)?.text != ",") break
            next++
        }
        return if (isFaulty) null else names.filterNotNull()
    }

    private fun nameOrAny(what: String): String? {
        if (words.getOrNull(next)?.text != ANY) return name(what)
        next++
        return ANY
    }

    private fun name(what: String): String? {
        val word = take(what) ?: return null
        if (NAME.matches(word.text) && word.text != NONE) return word.text
        return none(word.column, "expected $what, found `${word.text}`; a name consists of $NAME_RULE")
    }

    private fun expect(keyword: String): Boolean {
        val word = take("`$keyword`") ?: return false
        if (word.text == keyword) return true
        fault(word.column, "expected `$keyword`, found `${word.text}`")
        return false
    }

    private fun take(what: String): Word? {
        if (next < words.size) return words[next++]
        return none(code.trimEnd().length + 1, "expected $what, found the end of the rule")
    }

    private fun fault(column: Int, message: String) {
        isFaulty = true
        report(column, message)
    }

    private fun none(column: Int, message: String): Nothing? {
        fault(column, message)
        return null
    }

    private companion object {
        const val ANY = "*"
        const val NONE = "none"
        const val MAX_RATE = 1e9
        const val KEYWORDS = "team, quota, limit, timeout, class, route, drain, block"
        const val NAME_RULE = "1 to 128 letters, digits and `_ - . : @`, and is not `none`"
        val WORD = Regex("[^\\s,]+|,")
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
