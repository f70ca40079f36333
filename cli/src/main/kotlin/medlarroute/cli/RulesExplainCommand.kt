package medlarroute.cli

import kotlinx.cli.ArgType
import kotlinx.cli.required
import medlarroute.core.CallerId
import medlarroute.core.KindId
import medlarroute.core.RulesExplanation

/** Prints which rules apply to the jobs of a caller and kind. */
internal class RulesExplainCommand(cli: Cli) :
    OperatorCommand("explain", "Says which rules decide about a caller's jobs", cli) {
    private val file by option(ArgType.String, "file", description = "rules file; without it, the rules in force")
    private val caller by option(ArgType.String, "caller", description = "name of the caller").required()
    private val kind by option(ArgType.String, "kind", description = "kind of the tasks").required()

    override fun run(): Int {
        val document = file?.let { readRules(it) } ?: fetchRulesInForce(apiClient()).document()
        cli.print(RulesExplanation.of(document, CallerId(caller), KindId(kind)).toString())
        return ExitCode.SUCCESS
    }
}
