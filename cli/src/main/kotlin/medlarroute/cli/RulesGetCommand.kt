package medlarroute.cli

/** Prints the rules in force after a header line with their version, as `rules apply` expects it. */
internal class RulesGetCommand(cli: Cli) : OperatorCommand("get", "Prints the rules in force", cli) {
    override fun run(): Int {
        val rules = fetchRulesInForce(apiClient())
        cli.printLine(BaseVersion.headerLine(rules.version))
        cli.print(rules.text)
        if (rules.text.isNotEmpty() && !rules.text.endsWith("\n")) cli.printLine("")
        return ExitCode.SUCCESS
    }
}

/** Header line of an operator's copy of the rules: the version that the edit started from. */
internal object BaseVersion {
    private const val PREFIX = "# base version "

    /** Returns the header line for [version]. */
    fun headerLine(version: Long): String = "$PREFIX$version"

    /** Returns the version in the first line of [text], or null if there is none. */
    fun parse(text: String): Long? = text.lineSequence().first().removePrefix(PREFIX).trim().toLongOrNull()

    /** Returns [text] without its header line. */
    fun stripHeader(text: String): String = if (text.startsWith(PREFIX)) text.substringAfter('\n', "") else text
}
