package medlarroute.cli

/** Prints the rules in force, headed by their version, ready to be edited and applied. */
internal class RulesGetCommand(cli: Cli) : OperatorCommand("get", "Prints the rules in force", cli) {
    override fun run(): Int {
        val rules = rulesInForce(api())
        cli.printLine(BaseVersion.header(rules.version))
        cli.print(rules.text)
        if (rules.text.isNotEmpty() && !rules.text.endsWith("\n")) cli.printLine("")
        return ExitCode.SUCCESS
    }
}

/** First line of a rules file on an operator's machine: the version that the edit started from. */
internal object BaseVersion {
    private const val PREFIX = "# base version "

    /** The line for [version]. */
    fun header(version: Long): String = "$PREFIX$version"

    /** The version that [text] names; null if it names none. */
    fun of(text: String): Long? = text.lineSequence().first().removePrefix(PREFIX).trim().toLongOrNull()

    /** [text] without the line. */
    fun strip(text: String): String = if (text.startsWith(PREFIX)) text.substringAfter('\n', "") else text
}
