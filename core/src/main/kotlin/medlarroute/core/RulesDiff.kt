package medlarroute.core

/** Difference between two rules files, as lines of the canonical form. Blank lines and comment lines are ignored. */
public data class RulesDiff(public val changes: List<Change>) {
    /** A line that was added or removed. */
    public data class Change(public val isAdded: Boolean, public val line: RuleLine) {
        override fun toString(): String = (if (isAdded) "+ " else "- ") + RulesPrinter.line(line)
    }

    /** Whether both files hold the same rules with the same comments, and the routes in the same order. */
    public val isEmpty: Boolean get() = changes.isEmpty()

    override fun toString(): String = changes.joinToString("") { "$it\n" }

    public companion object {
        /** Changes that turn [before] into [after]. */
        public fun between(before: RulesDocument, after: RulesDocument): RulesDiff {
            val old = RulesPrinter.canonical(before)
            val new = RulesPrinter.canonical(after)
            val prefix = old.zip(new).takeWhile { (a, b) -> isSame(a, b) }.size
            val rest = minOf(old.size, new.size) - prefix
            val suffix = (1..rest).takeWhile { isSame(old[old.size - it], new[new.size - it]) }.size
            return RulesDiff(changes(old.subList(prefix, old.size - suffix), new.subList(prefix, new.size - suffix)))
        }

        private fun isSame(a: RuleLine, b: RuleLine) = RulesPrinter.line(a) == RulesPrinter.line(b)

        /** Changes along a longest common subsequence. */
        private fun changes(old: List<RuleLine>, new: List<RuleLine>): List<Change> {
            val common = commonLengths(old, new)
            val changes = ArrayList<Change>()
            var i = 0
            var j = 0
            while (i < old.size || j < new.size) {
                when {
                    i < old.size && j < new.size && isSame(old[i], new[j]) -> i++.also { j++ }

                    j == new.size || (i < old.size && common[i + 1][j] >= common[i][j + 1]) ->
                        changes += Change(false, old[i++])

                    else -> changes += Change(true, new[j++])
                }
            }
            return changes
        }

        /** Lengths of the longest common subsequences of the suffixes of [old] and [new]. */
        private fun commonLengths(old: List<RuleLine>, new: List<RuleLine>): Array<IntArray> {
            val oldTexts = old.map { RulesPrinter.line(it) }
            val newTexts = new.map { RulesPrinter.line(it) }
            val lengths = Array(old.size + 1) { IntArray(new.size + 1) }
            for (i in old.indices.reversed()) {
                for (j in new.indices.reversed()) {
                    val longer = maxOf(lengths[i + 1][j], lengths[i][j + 1])
                    lengths[i][j] = if (oldTexts[i] == newTexts[j]) lengths[i + 1][j + 1] + 1 else longer
                }
            }
            return lengths
        }
    }
}
