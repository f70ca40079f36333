package medlarroute.cli

import kotlinx.cli.ArgType
import kotlinx.cli.optional
import medlarroute.core.RulesDiff

/** Compares two rules files, or the rules in force with a file. */
internal class RulesDiffCommand(cli: Cli) : OperatorCommand("diff", "Compares rules", cli) {
    private val file by argument(ArgType.String, description = "rules file")
    private val other by argument(
        ArgType.String,
        description = "newer file; without it, FILE is the newer one",
    ).optional()

    override fun run(): Int {
        val document = readRules(file)
        val newer = other?.let { readRules(it) }
        val diff = if (newer != null) RulesDiff.between(document, newer) else RulesDiff.between(inForce(), document)
        cli.print(diff.toString())
        return if (diff.isEmpty) ExitCode.SUCCESS else ExitCode.NEGATIVE
    }

    private fun inForce() = fetchRulesInForce(apiClient()).document()
}
