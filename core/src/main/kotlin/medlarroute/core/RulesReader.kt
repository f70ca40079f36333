package medlarroute.core

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.left
import arrow.core.nonEmptyListOf
import arrow.core.right
import arrow.core.toNonEmptyListOrNull

/** Reads rules files, whose syntax is described in `docs/rules.md`, and reports all errors together. */
public object RulesReader {
    /** Largest text in characters. A row of the platform's table holds the whole text as JSON, in at most 256 KiB. */
    public const val MAX_CHARS: Int = 65_536

    /** The rules of [text] with the given [version]; [file] names the text in findings. */
    public fun read(text: String, version: Long, file: String = "rules"): Either<NonEmptyList<Finding>, Rules> =
        document(text, file).map { it.toRules(version) }

    /** The lines of [text] with their comments. */
    public fun document(text: String, file: String = "rules"): Either<NonEmptyList<Finding>, RulesDocument> {
        if (text.length > MAX_CHARS) {
            return nonEmptyListOf(Finding(file, 1, 1, "the text is longer than $MAX_CHARS characters")).left()
        }
        val findings = ArrayList<Finding>()
        val lines = text.split('\n').mapIndexedNotNull { i, line ->
            RuleParser(line.removeSuffix("\r"), i + 1) { column, message ->
                findings += Finding(file, i + 1, column, message)
            }.parse()
        }
        findings += RulesConflicts(lines, file).find()
        val sorted = findings.sortedWith(compareBy({ it.line }, { it.column }))
        return sorted.toNonEmptyListOrNull()?.left() ?: RulesDocument(lines).right()
    }
}
